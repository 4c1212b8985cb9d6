"""Gossip between gateways, and what a gateway may conclude from it."""

import asyncio

from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st
from pytest import mark, raises

from acaciacove.errors import MalformedMessageError
from acaciacove.gateway.choice.stable_hash import part_key
from acaciacove.gateway.endpoint_states import endpoint_id
from acaciacove.gateway.gateway import ASSUMED_GATEWAYS
from acaciacove.gateway.peers.member_record import (
    MemberRecord,
    read_member,
    write_member,
)
from acaciacove.gateway.peers.work_gossip import WorkGossip
from acaciacove.gateway.request_context import RequestContext
from acaciacove.gateway.usable_endpoints import cold_share
from acaciacove.messages.gateway_report import GatewayReport
from acaciacove.messages.rollout_view import RolloutView
from acaciacove.messages.version_cell import VersionCell
from acaciacove.messages.work_sent import WorkSent
from acaciacove.standins.gateway_fleet import PEER_PORT
from acaciacove.wire.codec import decode, encode
from tests.gateway_world import (
    call,
    catalogue,
    lines,
    model_fields,
    report,
    run_fleet,
)

OFFSETS = st.integers(0, 2**40)
SECONDS = st.floats(0, 1e6, allow_nan=False)
WORDS = st.text(max_size=12)


@given(
    st.builds(
        GatewayReport,
        instance=WORDS,
        incarnation=OFFSETS,
        address=WORDS,
        revision=OFFSETS,
        confirmed_age_s=SECONDS,
        nonce=OFFSETS,
        echo=OFFSETS,
        reply_wanted=st.booleans(),
        rollouts=st.lists(
            st.builds(
                RolloutView,
                WORDS,
                OFFSETS,
                SECONDS,
                st.integers(0, 999),
                st.booleans(),
            ),
            max_size=2,
        ).map(tuple),
        cells=st.lists(
            st.builds(
                VersionCell,
                service=WORDS,
                revision=OFFSETS,
                is_target=st.booleans(),
                name=WORDS,
                answers=st.integers(0, 9999),
                failures=st.integers(0, 9999),
                timed=st.integers(0, 9999),
                log_time_sum=SECONDS,
            ),
            max_size=4,
        ).map(tuple),
        availability_zone=WORDS,
    )
)
@settings(max_examples=50, derandomize=True)
def test_report_round_trip(report):
    assert decode(encode(report)) == report


def test_member_record_of_an_earlier_release_is_accepted():
    """Gateways of the earlier release write no zone into their member records.

    If these records were rejected during a rolling upgrade, the gateways would not be
    counted when the retry budget is split, and all together would exceed it.
    """
    old = read_member("gateway-7", b'{"host": "10.0.1.8", "port": 8002}')
    assert old == MemberRecord("gateway-7", "10.0.1.8", 8002, "")
    assert read_member("g", write_member(old)) == evolve(old, instance="g")
    for junk in (b"", b"[]", b'"x"', b'{"host": 1}', b"\xff"):
        with raises(MalformedMessageError):
            read_member("g", junk)


def test_gateways_discover_each_other():
    async def scenario(fleet):
        for name, running in fleet.gateways.items():
            assert running.gateway.peers == frozenset(fleet.gateways) - {name}

    run_fleet(scenario, gateways=3)


def test_gateway_rejected_by_the_log_serves_while_peers_confirm():
    """The log rejects one gateway and serves the others. That gateway cannot find out
    by itself whether an API key was revoked. Its peers can, so it continues to serve.
    """

    async def scenario(fleet):
        await asyncio.sleep(2.0)
        fleet.store.down = "busy"
        fleet.store.failing_callers = frozenset({"gateway-0"})
        for number in range(80):
            answer = await call("/look/1", f"r-{number}", method="GET")
            assert answer.status == 200
            await asyncio.sleep(0.1)

    run_fleet(scenario, gateways=3)


def test_peer_with_a_newer_revision_confirms_nothing():
    """An API key is revoked while the log rejects one gateway. Its peers have the newer
    revision, which it cannot get from them. Their reports that they are up to date must
    not confirm its older view.
    """

    async def scenario(fleet):
        await asyncio.sleep(2.0)
        fleet.gateways["gateway-0"].metadata.members = dict
        fleet.store.down = "busy"
        fleet.store.failing_callers = frozenset({"gateway-0"})
        await asyncio.sleep(0.2)
        fleet.publish(catalogue(version=2, keys=("other",)))
        published_s = asyncio.get_running_loop().time()
        last_served_s = published_s
        for number in range(80):
            answer = await call("/look/1", f"r-{number}", method="GET")
            if answer.status == 200:
                last_served_s = answer.at_s
            await asyncio.sleep(0.1)
        assert last_served_s - published_s < 5.0
        assert answer.status == 503

    run_fleet(scenario, gateways=3)


def test_delayed_report_without_echo_confirms_nothing():
    """A report waits in a socket while the receiver is suspended. If it confirmed the
    receiver's old view afterwards, an API key that was revoked meanwhile would still be
    accepted. Only a reply that echoes a local request counts.
    """

    async def scenario(fleet):
        await asyncio.sleep(1.0)
        view = fleet.gateways["gateway-0"].gateway.view
        stale = GatewayReport(
            instance="gateway-1",
            incarnation=1,
            address=f"10.0.1.2:{PEER_PORT}",
            revision=view.operator_revision,
            confirmed_age_s=0.0,
            nonce=1,
            echo=0,
            reply_wanted=False,
            rollouts=(),
            cells=(),
            availability_zone="a",
        )
        fleet.store.down = "silent"
        before = view.confirmed_boot_s
        fleet.network.isolated_hosts.add("10.0.1.1")
        await asyncio.sleep(3.0)
        fleet.network.isolated_hosts.clear()
        fleet.network.deliver("10.0.1.2", encode(stale), ("10.0.1.1", PEER_PORT))
        await asyncio.sleep(0.01)
        assert view.confirmed_boot_s == before

    run_fleet(scenario, gateways=2)


def test_undecodable_datagrams_are_ignored():
    async def scenario(fleet):
        for data in (b"", b"\x00" * 64, b"hello", bytes(range(200))):
            fleet.network.deliver("10.9.9.9", data, ("10.0.1.1", PEER_PORT))
        await asyncio.sleep(0.1)
        assert (await call("/look/1", "r-1", method="GET")).status == 200

    run_fleet(scenario, gateways=2)


@mark.parametrize("address", ["", "10.0.1.9", "10.0.1.9:x", "a.example:1"])
def test_report_with_an_unreadable_address_is_logged_and_ignored(address):
    """Guards against a peer's report that raises in the callback of the socket."""

    async def scenario(fleet):
        sent = GatewayReport(
            instance="gateway-9",
            incarnation=1,
            address=address,
            revision=0,
            confirmed_age_s=0.0,
            nonce=1,
            echo=0,
            reply_wanted=True,
            rollouts=(),
            cells=(),
            availability_zone="a",
        )
        fleet.network.deliver("10.0.1.9", encode(sent), ("10.0.1.1", PEER_PORT))
        await asyncio.sleep(0.1)
        (line,) = lines(fleet, "peer_message_unreadable")
        assert "gateway-9" in line["detail"]
        assert "gateway-9" not in fleet.gateways["gateway-0"].gateway.members

    run_fleet(scenario)


def test_limits_are_split_among_unreachable_gateways_too():
    async def scenario(fleet):
        fleet.network.isolated_hosts.update({"10.0.1.1", "10.0.1.2", "10.0.1.3"})
        await asyncio.sleep(20.0)
        assert fleet.gateways["gateway-0"].gateway.gateway_count == 3

    run_fleet(scenario, gateways=3)


def test_gateway_without_member_list_uses_no_cold_endpoints():
    """All gateways are killed and restarted at the same time, while an endpoint is in
    its cold start. Until a gateway has the member list, it does not know its share of
    the endpoint's rate. If each gateway used the complete rate, the endpoint would
    receive five times its capacity and fail.
    """

    async def scenario(fleet):
        await fleet.add_endpoint(
            report("cold", "model", 80, slots=64, cold_remaining_s=2.0)
        )
        await asyncio.sleep(0.5)
        gateway = fleet.gateways["gateway-0"].gateway
        endpoint = gateway.view.endpoints["cold"]
        context = RequestContext(
            request=None,
            route=gateway.view.catalogue.routes[2],
            service=gateway.view.catalogue.services["model"],
            organisation=None,
            session=None,
            deadline_s=1e9,
            model=None,
        )
        now_s = asyncio.get_running_loop().time()
        state = gateway.states.of(endpoint)
        assert cold_share(gateway, context, state, now_s) > 0
        gateway.members_loaded = False
        assert cold_share(gateway, context, state, now_s) == 0
        assert gateway.gateway_count == ASSUMED_GATEWAYS

    run_fleet(scenario, gateways=2)


@given(
    st.builds(
        WorkSent,
        endpoint=st.integers(0, 2**32 - 1),
        work_s=st.floats(0, 100, width=32),
        parts=st.lists(st.integers(0, 2**32 - 1), max_size=3).map(tuple),
    )
)
@settings(max_examples=50, derandomize=True)
def test_work_sent_round_trip(sent):
    assert decode(encode(sent)) == sent


def test_long_prompt_is_gossiped_to_the_other_gateway():
    async def scenario(fleet):
        await asyncio.sleep(1.5)
        fields = model_fields(tokens=60_000)
        await call("/draft/1", "r-1", fields=fields)
        instance = next(a.instance for a in fleet.arrivals)
        other = fleet.gateways["gateway-1"].gateway
        state = other.states.find(endpoint_id(instance))
        assert state.backlog.peer_work
        assert any(state.is_cached(part_key(m, "subject")) for m in ("small", "large"))

    run_fleet(scenario, gateways=2)


def test_threshold_falls_again_after_a_burst():
    """Guards against a threshold that stays high until longer prompts arrive."""
    sent = []
    gossip = WorkGossip(
        lambda: range(200), lambda data, _: sent.append(data), None, None
    )
    for step in range(200):
        gossip.send_update(WorkSent(1, 5.0, ()), step * 0.01)
    assert gossip.threshold.min_work_s > 0.5
    sent.clear()
    for step in range(10):
        gossip.send_update(WorkSent(1, 0.3, ()), 60.0 + step)
    assert sent


def test_invalid_work_is_ignored():
    """Guards against a faulty peer that makes an endpoint look busy forever."""

    async def scenario(fleet):
        gateway = fleet.gateways["gateway-0"].gateway
        for work_s in (float("nan"), float("inf"), -1.0, 1e9):
            data = encode(WorkSent(endpoint_id("model-0"), work_s, ()))
            fleet.network.deliver("10.0.1.2", data, ("10.0.1.1", PEER_PORT))
        await asyncio.sleep(0.1)
        now_s = asyncio.get_running_loop().time()
        for state in gateway.states.all():
            assert state.backlog.wait_s(now_s, 0.0) == 0.0

    run_fleet(scenario, gateways=2)
