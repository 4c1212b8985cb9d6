"""Endpoints that state a rate limit for all gateways together."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciacove.gateway.choice.share_of import share_of
from acaciacove.gateway.choice.stated_limit import LIMIT_EXPIRY_S, StatedLimit
from acaciacove.messages.limit_news import LimitNews
from acaciacove.messages.limit_seen import LimitSeen
from acaciacove.platform import names
from acaciacove.platform.header_fields import read_response
from acaciacove.wire.codec import decode, encode
from tests.gateway_world import call, lines, run_fleet

# The bound that holds at an endpoint from this long after it first stated a limit.
CONTACT_S = 3.0
WINDOW_S = 4.0
OVERAGE, EXTRA = 1.5, 5
LIMIT_PER_S = 1.5


def test_stated_limit_and_its_removal_are_logged():
    """Guards against stated limits that leave no trace in the log."""

    async def scenario(fleet):
        behaviour = fleet.endpoints["app-0"].behaviour
        behaviour.limit_per_s = 2.5
        await call("/look/1", "r-1", method="GET")
        behaviour.limit_per_s = None
        await call("/look/1", "r-2", method="GET")
        stated, lifted = lines(fleet, "endpoint_limited")
        assert stated["endpoint"] == "app-0" and stated["per_s"] == 2.5
        assert lifted["lifted"] is True

    run_fleet(scenario, apps=1, models=0)


def test_response_to_an_earlier_request_does_not_lift_a_limit():
    """Guards against responses out of order that lift and restore a limit in turns."""
    limit = StatedLimit()
    assert limit.apply_response(2.0, sent_s=1.0, now_s=1.5)
    assert not limit.apply_response(None, sent_s=1.2, now_s=1.6)
    assert limit.per_s == 2.0
    assert limit.apply_response(None, sent_s=1.7, now_s=1.8)
    assert limit.per_s is None


def max_in_window(times_s, window_s=WINDOW_S):
    return max(
        (sum(a <= b < a + window_s for b in times_s) for a in times_s), default=0
    )


async def send_lookups(fleet, seconds, per_s, gateways, number=0):
    """Send lookups to all gateways in turn; return the responses."""
    tasks = []
    for _ in range(int(seconds * per_s)):
        number += 1
        host = f"10.0.1.{number % gateways + 1}"
        path = f"/look/{number}"
        tasks.append(asyncio.create_task(call(path, f"r-{number}", host=host)))
        await asyncio.sleep(1.0 / per_s)
    return [await each for each in tasks]


@pytest.mark.parametrize("gateways", [1, 5, 28])
def test_all_gateways_together_stay_within_a_stated_limit(gateways):
    """Guards against an overloaded endpoint being sent as much as any other."""

    async def scenario(fleet):
        fleet.endpoints["app-0"].behaviour.limit_per_s = LIMIT_PER_S
        await send_lookups(fleet, CONTACT_S, 60, gateways)
        now_s = asyncio.get_running_loop().time()
        responses = await send_lookups(fleet, 12.0, 60, gateways, number=1000)
        arrivals = [
            a.at_s for a in fleet.arrivals if a.instance == "app-0" and a.at_s > now_s
        ]
        allowed = OVERAGE * LIMIT_PER_S * WINDOW_S + EXTRA
        assert max_in_window(arrivals) <= allowed
        assert {response.status for response in responses} == {200}

    run_fleet(scenario, gateways=gateways, apps=4, models=0)


def arrivals_at(fleet, instances, since_s):
    return [
        a.at_s for a in fleet.arrivals if a.instance in instances and a.at_s > since_s
    ]


def test_request_beyond_all_limits_is_refused_immediately():
    """Guards against callers that wait in vain or retry too early or too late."""

    async def scenario(fleet):
        for server in fleet.endpoints.values():
            server.behaviour.limit_per_s = LIMIT_PER_S
        await send_lookups(fleet, CONTACT_S, 20, 1)
        sent_s = asyncio.get_running_loop().time()
        refused = await call("/look/1", "r-1")
        assert refused.status == 503 and refused.at_s - sent_s < 0.05
        assert b'"not_run":true' in refused.body
        await asyncio.sleep(float(refused.headers["retry-after"]) + 0.01)
        assert (await call("/look/1", "r-2")).status == 200

    run_fleet(scenario, apps=2, models=0)


@pytest.mark.parametrize("gateways", [1, 5, 28])
def test_limited_endpoints_stay_well_utilised(gateways):
    """Guards against gateways that refuse requests while limited endpoints idle."""

    async def scenario(fleet):
        names = list(fleet.endpoints)
        for server in fleet.endpoints.values():
            server.behaviour.limit_per_s = LIMIT_PER_S
        await send_lookups(fleet, CONTACT_S, 60, gateways)
        now_s = asyncio.get_running_loop().time()
        await send_lookups(fleet, 12.0, 60, gateways, number=1000)
        served = len(arrivals_at(fleet, names, now_s))
        assert served >= 0.7 * 12.0 * LIMIT_PER_S * len(names)

    run_fleet(scenario, gateways=gateways, apps=6, models=0)


@pytest.mark.parametrize("gateways", [5, 28])
def test_lifted_limit_reaches_gateways_without_a_share(gateways):
    """Guards against gateways that never send to a limited endpoint again."""

    async def scenario(fleet):
        behaviour = fleet.endpoints["app-0"].behaviour
        behaviour.limit_per_s = 0.25
        await send_lookups(fleet, CONTACT_S + 2.0, 60, gateways)
        behaviour.limit_per_s = None
        await send_lookups(fleet, 10.0, 60, gateways, number=1000)
        now_s = asyncio.get_running_loop().time()
        await send_lookups(fleet, 5.0, 60, gateways, number=2000)
        assert len(arrivals_at(fleet, ["app-0"], now_s)) > 0.1 * 5.0 * 60

    run_fleet(scenario, gateways=gateways, apps=4, models=0)


def test_restarted_gateway_observes_limits_known_to_peers():
    """Guards against a restarted gateway sending a burst to a limited endpoint."""

    async def scenario(fleet):
        fleet.endpoints["app-0"].behaviour.limit_per_s = LIMIT_PER_S
        await send_lookups(fleet, CONTACT_S, 60, 4)
        fleet.kill_gateway("gateway-0")
        await asyncio.sleep(0.3)
        settings = fleet.gateways["gateway-0"].settings
        await fleet.add_gateway(settings, fleet.network.serve_gossip)
        await asyncio.sleep(0.5)
        now_s = asyncio.get_running_loop().time()
        await send_lookups(fleet, 8.0, 60, 4, number=1000)
        arrivals = arrivals_at(fleet, ["app-0"], now_s)
        assert max_in_window(arrivals) <= LIMIT_PER_S * WINDOW_S + 1

    run_fleet(scenario, gateways=4, apps=4, models=0)


@pytest.mark.parametrize("upset", ["log", "cut"])
def test_limit_holds_during_a_log_outage_or_partition(upset):
    """Guards against a limit that needs the log or gossip from every gateway."""

    async def scenario(fleet):
        fleet.endpoints["app-0"].behaviour.limit_per_s = LIMIT_PER_S
        await send_lookups(fleet, 1.0, 60, 4)
        if upset == "log":
            fleet.store.down = "reset"
        else:
            fleet.network.isolated_hosts.add("10.0.1.1")
        await send_lookups(fleet, CONTACT_S, 60, 4, number=500)
        now_s = asyncio.get_running_loop().time()
        await send_lookups(fleet, 10.0, 60, 4, number=1000)
        arrivals = arrivals_at(fleet, ["app-0"], now_s)
        allowed = OVERAGE * LIMIT_PER_S * WINDOW_S + EXTRA
        assert max_in_window(arrivals) <= allowed

    run_fleet(scenario, gateways=4, apps=4, models=0, revocation_strict=False)


@given(
    st.integers(0, 50),
    st.integers(1, 400),
    st.integers(0, 2**64 - 1),
)
@settings(max_examples=30, derandomize=True)
def test_shares_sum_to_the_total(total, gateways, subject):
    names = frozenset(f"gateway-{number}" for number in range(gateways))
    shares = [share_of(total, subject, name, names - {name}) for name in names]
    assert sum(shares) == total
    assert max(shares) - min(shares) <= 1


@given(st.floats(0, 40), st.lists(st.floats(0, 0.5), max_size=200))
@settings(max_examples=100, derandomize=True)
def test_no_window_exceeds_the_limit(per_s, pauses):
    limit, now_s, sent = StatedLimit(), 100.0, []
    limit.apply_response(per_s, now_s, now_s)
    for pause_s in pauses:
        now_s += pause_s
        if limit.is_set(now_s) and limit.allows(now_s, limit.per_window):
            limit.count(now_s)
            sent.append(now_s)
    assert max_in_window(sent) <= per_s * WINDOW_S + 1


def test_unconfirmed_limit_expires():
    """Guards against excluding an endpoint for ever when a lifting response is lost."""
    limit = StatedLimit()
    limit.apply_response(0.0, 0.0, 0.0)
    assert limit.is_set(LIMIT_EXPIRY_S)
    assert not limit.is_set(LIMIT_EXPIRY_S + 1.0)


def test_newest_limit_update_wins():
    limit = StatedLimit()
    assert limit.apply_gossip(2.0, 10.0)
    assert not limit.apply_gossip(None, 9.0)
    assert limit.apply_gossip(None, 11.0)
    assert limit.per_s is None


@given(
    st.builds(
        LimitNews,
        st.lists(
            st.builds(
                LimitSeen,
                st.integers(0, 2**32 - 1),
                st.none() | st.floats(0, 1e6),
                st.floats(0, 1e6, width=32),
            ),
            max_size=4,
        ).map(tuple),
    )
)
@settings(max_examples=50, derandomize=True)
def test_limit_gossip_round_trips(gossip):
    assert decode(encode(gossip)) == gossip


@pytest.mark.parametrize("text", ["-1", "nan", "inf", "many", ""])
def test_unreadable_limit_is_ignored(text):
    head = read_response(200, b"", [(names.RATE_LIMIT, text.encode())])
    assert head.rate_limit_per_s is None
