"""A gateway's routing view, its age, and what a gateway does when it may be stale."""

import asyncio

import pytest
from attrs import evolve

from acaciacove.standins.gateway_fleet import ENDPOINTS, OPERATOR
from tests.gateway_world import (
    KEY,
    Caller,
    call,
    catalogue,
    draft,
    lines,
    report,
    run_fleet,
    runs_of,
)


def test_a_new_catalogue_is_in_force_within_a_second():
    async def scenario(fleet):
        base = catalogue()
        remaining = tuple(r for r in base.routes if r.name != "look")
        fleet.publish(catalogue(version=2, routes=remaining))
        await asyncio.sleep(0.3)
        assert (await call("/look/1", "r-1", method="GET")).status == 404
        assert (await call("/book/1", "r-2")).status == 200

    run_fleet(scenario)


def test_an_excluded_zone_gets_no_requests():
    async def scenario(fleet):
        fleet.take_zone_out("a")
        await asyncio.sleep(0.3)
        for number in range(6):
            await call("/look/1", f"r-{number}", method="GET")
        assert {a.instance for a in fleet.arrivals} == {"app-1"}
        fleet.take_zone_in("a")
        await asyncio.sleep(0.3)
        fleet.arrivals.clear()
        for number in range(6):
            await call("/look/1", f"s-{number}", method="GET")
        assert "app-0" in {a.instance for a in fleet.arrivals}

    run_fleet(scenario)


def test_a_draining_endpoint_gets_no_requests():
    async def scenario(fleet):
        fleet.announce_draining("app-0")
        await asyncio.sleep(0.5)
        for number in range(6):
            await call("/look/1", f"r-{number}", method="GET")
        assert {a.instance for a in fleet.arrivals} == {"app-1"}

    run_fleet(scenario)


def test_foreign_records_add_and_remove_no_endpoint():
    """Another program writes into the same stream: fields of other types, unknown
    states, bytes that are no document. The readers must neither stop nor send requests
    to such an endpoint.
    """

    async def scenario(fleet):
        bad = (
            b"\xff\xfe",
            b"[]",
            b'{"service":"app"}',
            b'{"service":"app","address":"10.0.2.99:x","zone":"a","version":"v1",'
            b'"slots":6,"state":"ready"}',
            b'{"service":"app","address":"10.0.2.99:9000","zone":"a","version":"v1",'
            b'"slots":"6","state":"ready"}',
            b'{"service":"app","address":"10.0.2.99:9000","zone":"a","version":"v1",'
            b'"slots":6,"state":"resting"}',
            b'{"service":7,"address":"10.0.2.99:9000","zone":"a","version":"v1",'
            b'"slots":6,"state":"ready"}',
        )
        for number, value in enumerate(bad):
            fleet.store.append(ENDPOINTS, f"bad-{number}", value)
        await fleet.add_endpoint(report("app-9", "app", 19))
        await asyncio.sleep(0.5)
        answers = [await call("/look/1", f"r-{n}", method="GET") for n in range(9)]
        assert [a.status for a in answers] == [200] * 9
        assert "app-9" in {a.instance for a in fleet.arrivals}
        assert len(lines(fleet, "record_unreadable")) == len(bad)

    run_fleet(scenario)


def test_an_expired_offset_leads_to_a_new_snapshot():
    async def scenario(fleet):
        fleet.publish(catalogue(version=2, keys=("second",)))
        fleet.store.truncate_history(OPERATOR)
        fleet.store.append(ENDPOINTS, "app-0", b"")
        fleet.store.truncate_history(ENDPOINTS)
        await asyncio.sleep(2.0)
        assert (await call("/look/1", "r-1", method="GET")).status == 401
        for number in range(4):
            await call("/look/1", f"r-{number}", method="GET", key="second")
        assert {a.instance for a in fleet.arrivals} == {"app-1"}

    run_fleet(scenario)


def test_keys_are_refused_once_a_revocation_could_have_been_missed():
    """The log is unavailable, and an operator may have revoked a key through it. The
    gateway serves for a while. Before the guaranteed time since its last confirmed view
    is over, it refuses requests and says when to retry.
    """

    async def scenario(fleet):
        await asyncio.sleep(2.0)
        fleet.store.down = "silent"
        outage_start_s = asyncio.get_running_loop().time()
        served_s = refused_s = None
        for number in range(70):
            answer = await call("/look/1", f"r-{number}", method="GET")
            if answer.status == 200:
                served_s = answer.at_s
            elif refused_s is None:
                refused_s = answer.at_s
                assert answer.status == 503 and b'"not_run":true' in answer.body
            await asyncio.sleep(0.1)
        assert refused_s is not None and served_s < refused_s
        assert 2.5 < refused_s - outage_start_s < 5.0
        fleet.store.down = None
        await asyncio.sleep(3.0)
        assert (await call("/look/1", "r-z", method="GET")).status == 200

    run_fleet(scenario)


def test_no_key_is_honoured_after_a_suspend_before_the_log_is_read():
    """A machine is suspended, a key is revoked meanwhile, and the machine resumes with
    a request waiting. The event loop's clock stopped, so by it the view would look
    fresh. By the clock that keeps running the view is stale.
    """

    async def scenario(fleet):
        await asyncio.sleep(1.0)
        fleet.suspended_s = 6.0
        answer = await call("/book/1", "r-1")
        assert answer.status == 503 and runs_of(fleet, "r-1") == []
        await asyncio.sleep(3.5)
        assert (await call("/book/1", "r-2")).status == 200

    run_fleet(scenario)


def test_a_revoked_key_is_refused():
    async def scenario(fleet):
        fleet.publish(catalogue(version=2, keys=("other",)))
        await asyncio.sleep(0.3)
        assert (await call("/look/1", "r-1", method="GET")).status == 401
        assert (await call("/look/1", "r-2", method="GET", key="other")).status == 200

    run_fleet(scenario)


def test_a_stale_view_answers_503_instead_of_401_or_404():
    """A key is new and the gateway has not read it yet, as the log is unavailable.
    After a 401 its holder would not retry; a 503 with Retry-After sends the caller
    elsewhere.
    """

    async def scenario(fleet):
        fleet.store.down = "reset"
        await asyncio.sleep(2.5)
        unknown_key = await call("/look/1", "r-1", method="GET", key="new")
        unknown_path = await call("/new/1", "r-2", method="GET", key=KEY)
        assert (unknown_key.status, unknown_path.status) == (503, 503)
        assert "retry-after" in unknown_key.headers

    run_fleet(scenario)


@pytest.mark.parametrize("begin_s", [1.4, 1.6, 2.0, 2.4, 2.8])
@pytest.mark.parametrize("propagation_s", [0.5, 1.0, 2.0])
def test_a_new_key_never_gets_401_once_it_must_be_in_force(propagation_s, begin_s):
    """Guards against a view that counts as fresh after a decision must be in force."""

    async def scenario(fleet):
        await asyncio.sleep(begin_s)
        fleet.store.down = "silent"
        fleet.publish(catalogue(version=2, keys=(KEY, "new")))
        await asyncio.sleep(propagation_s)
        answer = await call("/look/1", "r-1", method="GET", key="new")
        assert answer.status == 503

    run_fleet(scenario, propagation_s=propagation_s)


@pytest.mark.parametrize("gateways", [1, 5])
@pytest.mark.parametrize("revocation_s", [1.0, 2.0, 5.0])
@pytest.mark.parametrize("propagation_s", [0.5, 1.0, 2.0])
def test_an_available_log_keeps_the_view_fresh(propagation_s, revocation_s, gateways):
    """Guards against reads of the log that are too rare to keep the view fresh."""

    async def scenario(fleet):
        await asyncio.sleep(1.0)
        for number in range(100):
            known = await call("/look/1", f"r-{number}", method="GET")
            unknown = await call("/new/1", f"s-{number}", method="GET")
            assert (known.status, unknown.status) == (200, 404)
            await asyncio.sleep(0.05)

    guarantees = {"propagation_s": propagation_s, "revocation_s": revocation_s}
    run_fleet(scenario, gateways=gateways, **guarantees)


def test_a_start_without_the_log_is_not_ready():
    async def scenario(fleet):
        fleet.store.down = "busy"
        from acaciacove.standins.gateway_fleet import gateway_settings

        fresh = await fleet.add_gateway(gateway_settings("late", "10.0.1.9", "b"))
        await asyncio.sleep(1.0)
        assert not fresh.pages.is_ready()
        answer = await call("/look/1", "r-1", host="10.0.1.9", method="GET")
        assert answer.status == 503
        fleet.store.down = None
        await asyncio.sleep(1.5)
        assert fresh.pages.is_ready()
        answer = await call("/look/1", "r-2", host="10.0.1.9", method="GET")
        assert answer.status == 200

    run_fleet(scenario)


def test_entries_that_expire_in_an_outage_are_retained():
    """The entries of live endpoints expire during an outage of the log and are
    registered again within two seconds of its recovery. If they were removed at once,
    every request in between would be refused although all endpoints are ready.
    """

    async def scenario(fleet):
        fleet.store.down = "reset"
        # Three heartbeats are missed, the first of which may be due at once.
        await asyncio.sleep(2.6)
        for name in ("app-0", "app-1"):
            fleet.store.append(ENDPOINTS, name, b"")
        fleet.store.down = None
        for number in range(10):
            await asyncio.sleep(0.15)
            answer = await call("/look/1", f"r-{number}", method="GET")
            assert answer.status == 200
        fleet.register(fleet.endpoints["app-0"].report)
        await asyncio.sleep(3.0)
        fleet.arrivals.clear()
        for number in range(4):
            await call("/look/1", f"s-{number}", method="GET")
        assert {a.instance for a in fleet.arrivals} == {"app-0"}

    run_fleet(scenario)


def test_an_endpoint_removed_without_draining_is_dropped_at_once():
    async def scenario(fleet):
        fleet.store.append(ENDPOINTS, "app-0", b"")
        await asyncio.sleep(0.5)
        assert "app-0" not in fleet.gateways["gateway-0"].gateway.view.endpoints

    run_fleet(scenario)


def test_an_older_record_never_replaces_a_newer_one():
    from acaciacove.gateway.log_record import LogRecord
    from acaciacove.platform.record_writer import write_catalogue

    async def scenario(fleet):
        running = fleet.gateways["gateway-0"]
        newer = write_catalogue(catalogue(version=9))
        older = write_catalogue(catalogue(version=8))
        running.operator.apply(LogRecord("config", newer, 50))
        running.operator.apply(LogRecord("config", older, 49))
        assert running.gateway.view.catalogue.version == 9

    run_fleet(scenario)


def test_a_crashed_endpoint_fails_no_lookup():
    async def scenario(fleet):
        fleet.crash("app-0")
        answers = [await call("/look/1", f"r-{n}", method="GET") for n in range(8)]
        assert [a.status for a in answers] == [200] * 8

    run_fleet(scenario)


def test_a_new_incarnation_is_treated_as_cold():
    """An endpoint crashes and starts again under its old name. It has little capacity
    until it is warm. With the load that its previous incarnation could serve it would
    be overloaded and crash again.
    """

    async def scenario(fleet):
        server = fleet.endpoints["model-0"]
        restarted = evolve(server.report, started_ms=2, cold_remaining_s=3.0)
        fleet.register(restarted)
        await asyncio.sleep(0.5)
        fleet.store.append(ENDPOINTS, "model-1", b"")
        await asyncio.sleep(0.5)
        fleet.arrivals.clear()
        answers = await asyncio.gather(
            *(draft(f"r-{n}", key=f"k{n}") for n in range(60))
        )
        began = [a.at_s for a in fleet.arrivals if a.instance == "model-0"]
        assert 5 <= len([t for t in began if t < began[0] + 1.0]) <= 20
        assert {a.status for a in answers} == {200, 503}

    run_fleet(scenario)


def test_a_silent_connection_is_replaced():
    """The connection to the log stays open, but nothing arrives on it any more. Only
    the gateway's own timeout detects this. Without it the view would stay at the last
    read forever.
    """

    async def scenario(fleet):
        fleet.store.down = "silent"
        await asyncio.sleep(1.0)
        fleet.store.down = None
        fleet.publish(catalogue(version=2, keys=("second",)))
        await asyncio.sleep(4.0)
        assert (await call("/look/1", "r-1", method="GET", key="second")).status == 200

    run_fleet(scenario)


def test_persistent_connections_use_the_new_catalogue():
    async def scenario(fleet):
        caller = await Caller().open()
        assert (await caller.request("/look/1", "r-1", method="GET")).status == 200
        fleet.publish(catalogue(version=2, keys=("second",)))
        await asyncio.sleep(0.3)
        assert (await caller.request("/look/1", "r-2", method="GET")).status == 401

    run_fleet(scenario)


def test_an_outage_of_an_hour_stops_no_gateway():
    """Guards against a retry delay that grows beyond the range of a float."""

    async def scenario(fleet):
        fleet.store.down = "reset"
        await asyncio.sleep(3600.0)
        fleet.store.down = None
        await asyncio.sleep(3.0)
        answer = await call("/look/1", "r-1", method="GET")
        assert answer.status == 200

    run_fleet(scenario)


@pytest.mark.parametrize("gateways", [1, 3])
def test_endpoints_of_a_zone_that_is_taken_back_may_be_cold(gateways):
    """Guards against more requests in one second than a cold endpoint bears: it becomes
    cold as its zone is taken back, and gets every request until its record is read.
    """
    cold_s, silent_s = 2.0, 0.4
    cold = report("app-1", "app", 11, "b", cold_remaining_s=cold_s)
    base = catalogue()
    app = evolve(base.services["app"], cold_start_s=3.0, cold_rate_per_s=10.0)
    published = evolve(base, services=base.services | {"app": app})

    async def call_for(fleet, seconds):
        calls = []
        for number in range(int(seconds / 0.01)):
            host = f"10.0.1.{number % gateways + 1}"
            calls.append(asyncio.create_task(call("/look/1", f"{number:x}", host=host)))
            await asyncio.sleep(0.01)
        await asyncio.gather(*calls)

    async def scenario(fleet):
        fleet.take_zone_out("b")
        await asyncio.sleep(2.0)
        await call_for(fleet, 1.0)
        back_s = asyncio.get_running_loop().time()
        fleet.take_zone_in("b")
        asyncio.get_running_loop().call_later(silent_s, fleet.register, cold)
        await call_for(fleet, 3.0)
        times_s = [
            a.at_s
            for a in fleet.arrivals
            if a.instance == "app-1" and back_s <= a.at_s < back_s + cold_s
        ]
        return max(
            sum(start <= at_s < start + 1.0 for at_s in times_s) for start in times_s
        )

    # 10 a second with an overage of half, and 5 more.
    assert 1 <= run_fleet(scenario, gateways=gateways, published=published) <= 20
