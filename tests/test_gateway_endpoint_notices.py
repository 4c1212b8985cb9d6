"""What endpoints say of themselves: that they leave, or that they want a rest."""

import asyncio

import pytest
from attrs import evolve

from acaciacove.platform.header_fields import read_response
from tests.gateway_world import call, draft, lines, report, run_fleet

DRAIN_S = 2.0
# The bound of a rest: more than two requests to an endpoint from half a second after it
# has asked for the rest.
REST_NOTICE_S = 0.5
REQUESTS_IN_REST = 2
EVERY_S = 0.05


async def send_while(fleet, seconds, gateways, send=call):
    """Send requests to all gateways in turn; return them as gateway, time, answer."""
    loop = asyncio.get_running_loop()
    began_s, tasks, sent = loop.time(), [], {}
    while loop.time() < began_s + seconds:
        number = len(tasks)
        request_id = f"{began_s:.3f}-{number}"
        sent[request_id] = (number % gateways, loop.time())
        host = f"10.0.1.{number % gateways + 1}"
        if send is draft:
            request = draft(request_id, key=f"subject-{number % 7}", host=host)
        else:
            request = call(f"/look/{number}", request_id, host=host)
        tasks.append(asyncio.create_task(request))
        await asyncio.sleep(EVERY_S)
    return sent, [await task for task in tasks]


def late_requests(fleet, sent):
    """Return the requests sent too late to an endpoint that has said it leaves."""
    told_s = {}
    late = []
    for arrival in sorted(fleet.arrivals, key=lambda a: a.at_s):
        gateway, sent_s = sent.get(arrival.request_id, (None, 0.0))
        key = (gateway, arrival.instance)
        if gateway is None:
            continue
        if sent_s > told_s.get(key, float("inf")) + DRAIN_S:
            late.append((arrival.request_id, *key))
        if arrival.said_leaving == "1" and arrival.ended_s:
            told_s.setdefault(key, arrival.ended_s)
    return late


def requests_in_rests(fleet, sent):
    """Return the largest number of requests from one gateway within one rest."""
    most = 0
    by_key = {}
    for arrival in fleet.arrivals:
        if arrival.request_id in sent:
            key = (sent[arrival.request_id][0], arrival.instance)
            by_key.setdefault(key, []).append(arrival)
    for arrivals in by_key.values():
        for asked in arrivals:
            if asked.retry_after is None:
                continue
            begin_s = asked.ended_s + REST_NOTICE_S
            end_s = asked.ended_s + float(asked.retry_after)
            most = max(most, sum(begin_s < a.at_s < end_s for a in arrivals))
    return most


@pytest.mark.parametrize("gateways", [1, 5])
@pytest.mark.parametrize("send", [call, draft])
def test_an_endpoint_that_says_it_leaves_gets_no_requests_though_the_log_is_away(
    gateways, send
):
    """Guards against requests that reach an endpoint after it has gone, because only
    the log's word for its departure counts.
    """

    async def scenario(fleet):
        await send_while(fleet, 1.0, gateways, send)
        fleet.store.down = "busy"
        for service in ("app", "model"):
            fleet.endpoints[f"{service}-0"].behaviour.leaving = "1"
        sent, answers = await send_while(fleet, DRAIN_S + 1.0, gateways, send)
        assert {answer.status for answer in answers} == {200}
        assert late_requests(fleet, sent) == []

    run_fleet(scenario, gateways=gateways)


def test_an_endpoint_of_the_old_name_or_address_that_started_anew_is_used():
    """Guards against a departure that is held against the endpoint that follows at the
    same address, or under the same name.
    """

    async def scenario(fleet):
        server = fleet.endpoints["app-0"]
        server.behaviour.leaving = "1"
        await call("/look/1", "r-1")
        assert (await call("/look/1", "r-2")).status == 503
        server.behaviour.leaving = None
        server.report = evolve(server.report, started_ms=2)
        fleet.register(server.report)
        await asyncio.sleep(1.0)
        assert (await call("/look/1", "r-3")).status == 200
        server.behaviour.leaving = "1"
        await call("/look/1", "r-4")
        fleet.crash("app-0")
        await fleet.add_endpoint(report("app-9", "app", 10))
        await asyncio.sleep(1.0)
        assert (await call("/look/1", "r-5")).status == 200

    run_fleet(scenario, apps=1, models=0)


def test_a_departure_holds_while_the_entry_expires_and_returns():
    """Guards against a departure that is forgotten with the endpoint's entry."""

    async def scenario(fleet):
        server = fleet.endpoints["app-0"]
        server.behaviour.leaving = "1"
        await call("/look/1", "r-1")
        fleet.store.append("keyed.servers", "app-0", b"")
        await asyncio.sleep(3.0)
        fleet.register(server.report)
        await asyncio.sleep(1.0)
        assert (await call("/look/1", "r-2")).status == 503

    run_fleet(scenario, apps=1, models=0)


def test_requests_are_refused_at_once_while_all_endpoints_leave():
    """Guards against callers that wait where nobody may serve them."""

    async def scenario(fleet):
        for server in fleet.endpoints.values():
            server.behaviour.leaving = "1"
        await asyncio.gather(*(call("/look/1", f"r-{n}") for n in range(9)))
        sent_s = asyncio.get_running_loop().time()
        refused = await call("/look/1", "late")
        assert refused.status == 503 and refused.at_s - sent_s < 0.05
        assert float(refused.headers["retry-after"]) > 0
        assert b'"not_run":true' in refused.body

    run_fleet(scenario, models=0)


def test_an_answer_of_low_confidence_is_kept_where_no_endpoint_is_left():
    """Guards against an answer that is thrown away for a larger model, which no
    endpoint may be asked for.
    """

    async def scenario(fleet):
        behaviour = fleet.endpoints["model-0"].behaviour
        behaviour.confidence = {"small": 10, "large": 99}
        behaviour.leaving = "1"
        answer = await draft("r-1")
        assert answer.status == 200 and answer.complete

    run_fleet(scenario, apps=0, models=1)


@pytest.mark.parametrize("gateways", [1, 5])
@pytest.mark.parametrize("rest_s", [0.2, 3.0, 10.0])
def test_an_endpoint_that_asks_for_rest_gets_it(gateways, rest_s):
    """Guards against refusals that use up the repeats of all callers, as an endpoint
    goes on being asked within its rest.
    """

    async def scenario(fleet):
        behaviour = fleet.endpoints["app-0"].behaviour
        behaviour.full, behaviour.retry_after = True, f"{rest_s}"
        sent, _ = await send_while(fleet, 1.5 * rest_s + 1.0, gateways)
        assert requests_in_rests(fleet, sent) <= REQUESTS_IN_REST
        behaviour.full = False
        await asyncio.sleep(rest_s + 0.1)
        assert (await call("/look/1", "r-1")).status == 200

    run_fleet(scenario, apps=1, models=0, gateways=gateways)


@pytest.mark.parametrize("rest_s", [0.2, 3.0, 60.0])
def test_requests_are_refused_at_once_and_with_a_true_wait_while_all_endpoints_rest(
    rest_s,
):
    """Guards against callers that are told to return before anyone may serve them."""

    async def scenario(fleet):
        for server in fleet.endpoints.values():
            server.behaviour.full = True
            server.behaviour.retry_after = f"{rest_s}"
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        asking = await call("/look/1", "r-1")
        assert asking.at_s - sent_s < 0.1
        sent_s = loop.time()
        refused = await call("/look/1", "r-2")
        assert refused.status == 503 and refused.at_s - sent_s < 0.05
        assert b'"not_run":true' in refused.body
        for server in fleet.endpoints.values():
            server.behaviour.full = False
        for answer in (asking, refused):
            return_s = answer.at_s + float(answer.headers["retry-after"])
            assert return_s - sent_s == pytest.approx(rest_s, rel=0.15, abs=0.05)
        await asyncio.sleep(return_s - loop.time())
        assert (await call("/look/1", "r-3")).status == 200

    run_fleet(scenario, models=0)


def test_a_rest_that_begins_while_a_connection_is_made_is_kept():
    """Guards against a request that was on its way to a connection when the endpoint
    asked for rest.
    """

    async def scenario(fleet):
        gateway = fleet.gateways["gateway-0"].gateway
        (endpoint,) = gateway.view.endpoints.values()
        pool = gateway.states.of(endpoint).pool
        acquire = pool.acquire

        async def acquire_slowly(non_idempotent, timeout_s, avoided):
            connection = await acquire(non_idempotent, timeout_s, avoided)
            notice = gateway.states.record_notice(endpoint)
            notice.record_rest(3.0, asyncio.get_running_loop().time())
            return connection

        pool.acquire = acquire_slowly
        assert (await call("/look/1", "r-1")).status == 503
        assert fleet.arrivals == []

    run_fleet(scenario, apps=1, models=0)


@pytest.mark.parametrize(
    ("fields", "leaving", "rest_s", "unreadable"),
    [
        ([], False, None, 0),
        ([(b"server-leaving", b"1"), (b"retry-after", b"0.2")], True, 0.2, 0),
        ([(b"server-leaving", b"0"), (b"retry-after", b"60")], False, 60.0, 0),
        ([(b"server-leaving", b"yes")], False, None, 1),
        ([(b"server-leaving", b"")], False, None, 1),
        ([(b"retry-after", b"-1")], False, None, 1),
        ([(b"retry-after", b"1e9")], False, None, 1),
        ([(b"retry-after", b"nan")], False, None, 1),
        ([(b"retry-after", b"Fri, 04 Dec 2026 07:28:00 GMT")], False, None, 1),
        ([(b"retry-after", b"\xff" * 9), (b"server-leaving", b"\xfe")], False, None, 2),
    ],
)
def test_fields_that_cannot_be_read_are_logged_and_ignored(
    fields, leaving, rest_s, unreadable
):
    """Guards against a field of an endpoint that ends a request or the process."""
    head = read_response(503, b"", fields)
    assert (head.leaving, head.rest_s) == (leaving, rest_s)
    assert len(head.unreadable) == unreadable

    async def scenario(fleet):
        behaviour = fleet.endpoints["app-0"].behaviour
        values = {name.decode(): value.decode("latin-1") for name, value in fields}
        behaviour.leaving = values.get("server-leaving")
        behaviour.full, behaviour.retry_after = True, values.get("retry-after")
        await call("/look/1", "r-1")
        seen = lines(fleet, "header_unreadable")
        assert len(seen) >= unreadable and bool(seen) is bool(unreadable)

    if not any(0xFE in value or 0xFF in value for _, value in fields):
        run_fleet(scenario, apps=1, models=0)
