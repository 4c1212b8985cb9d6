"""Quarantine of a request that crashes every endpoint that runs it."""

import asyncio

import pytest

from tests.gateway_world import call, draft, lines, run_fleet

CRASHING = b"crashes what runs it"
# Guaranteed bounds: three crashes, the time until all connected gateways have received
# the gossip, and three trials after that.
MAX_CRASHES = 3
GOSSIP_S = 3.0
MAX_TRIALS = 3
HOSTS = tuple(f"10.0.1.{number}" for number in range(1, 5))


def set_crashing_body(fleet, body=CRASHING):
    for server in fleet.endpoints.values():
        server.behaviour.crashing_bodies = (body,)


async def send_crashing_requests(fleet, times, every_s, gateways, path="/look/7"):
    """Send the crashing request to the gateways in turn, two copies at a time."""
    answers = []
    for number in range(times):
        answers += await asyncio.gather(
            *(
                call(
                    path,
                    f"bad-{number}-{copy}",
                    host=f"10.0.1.{(2 * number + copy) % gateways + 1}",
                    body=CRASHING,
                )
                for copy in range(2)
            )
        )
        await asyncio.sleep(every_s)
    return answers


def crashes(fleet):
    return sorted(a.ended_s for a in fleet.arrivals if a.ended == "crashed")


def crash_lines(fleet):
    found = [lines(fleet, "endpoint_crashed", name) for name in fleet.gateways]
    return sum(found, [])


def crashing_requests_after(fleet, moment_s):
    return [a for a in fleet.arrivals if a.body == CRASHING and a.at_s > moment_s]


@pytest.mark.parametrize("gateways", [1, 5, 28])
def test_request_that_crashes_endpoints_is_sent_a_limited_number_of_times(gateways):
    """Guards against one request that takes down all endpoints repeatedly."""

    async def scenario(fleet):
        set_crashing_body(fleet)
        await send_crashing_requests(fleet, 12, 3.5, gateways)
        third_s = crashes(fleet)[MAX_CRASHES - 1]
        assert len(crashing_requests_after(fleet, third_s + GOSSIP_S)) <= MAX_TRIALS

    run_fleet(scenario, gateways=gateways, apps=9, models=0)


def test_streamed_request_that_crashes_endpoints_is_quarantined():
    """Guards against a stream that is resumed at endpoint after endpoint."""

    async def scenario(fleet):
        set_crashing_body(fleet)
        for number in range(12):
            await draft(f"bad-{number}", body=CRASHING, host=HOSTS[number % 4])
            await asyncio.sleep(1.0)
        third_s = crashes(fleet)[MAX_CRASHES - 1]
        assert len(crashing_requests_after(fleet, third_s + GOSSIP_S)) <= MAX_TRIALS

    run_fleet(scenario, gateways=4, apps=0, models=9)


def test_other_requests_are_served_while_one_crashes_endpoints():
    """Guards against quarantining requests that shared an endpoint with it."""

    async def scenario(fleet):
        set_crashing_body(fleet)
        for server in fleet.endpoints.values():
            server.behaviour.work_s = 0.15
        others = []

        async def send_others():
            for number in range(400):
                host = HOSTS[number % 4]
                path = f"/look/other-{number}"
                others.append(
                    asyncio.create_task(call(path, f"ok-{number}", host=host))
                )
                await asyncio.sleep(0.025)

        sending = asyncio.create_task(send_others())
        await send_crashing_requests(fleet, 12, 0.5, 4)
        await sending
        answers = [await other for other in others]
        assert not [a for a in answers if b"request_quarantined" in a.body]
        settled = answers[100:]
        assert sum(a.status == 200 for a in settled) == len(settled)

    run_fleet(scenario, gateways=4, apps=9, models=0)


def test_request_at_three_unrelated_crashes_is_still_served():
    """Guards against quarantining a request for crashes of other causes."""

    async def scenario(fleet):
        for server in fleet.endpoints.values():
            server.behaviour.work_s = 0.3
        first = asyncio.create_task(call("/look/unlucky", "r-1", body=b"unlucky"))
        for crash_count in range(1, 4):
            await asyncio.sleep(0.1)
            (run,) = [a for a in fleet.arrivals if a.ran and not a.ended]
            fleet.crash_and_restart(run.instance)
            await asyncio.sleep(0.1)
            assert len(crash_lines(fleet)) == crash_count
        assert (await first).status == 502
        second = await call("/look/unlucky", "r-2", body=b"unlucky", host=HOSTS[1])
        assert second.status == 200
        assert not lines(fleet, "request_quarantined")
        await asyncio.sleep(0.05)
        third = await call("/look/unlucky", "r-3", body=b"unlucky", host=HOSTS[2])
        assert third.status == 200

    run_fleet(scenario, gateways=4, apps=9, models=0)


def test_repeated_request_is_not_quarantined_for_a_zone_failure():
    """Guards against suspecting a request in flight at all endpoints of a zone."""

    async def scenario(fleet):
        for server in fleet.endpoints.values():
            server.behaviour.work_s = 0.2
        calls = [
            asyncio.create_task(call("/look/popular", f"r-{n}", host=HOSTS[n % 4]))
            for n in range(24)
        ]
        await asyncio.sleep(0.1)
        for instance in ("app-0", "app-3", "app-6", "app-1", "app-4"):
            fleet.crash_and_restart(instance)
        statuses = [(await each).status for each in calls]
        assert statuses.count(200) == len(statuses)
        assert not lines(fleet, "request_quarantined")
        for number in range(8):
            host = HOSTS[number % 4]
            late = await call("/look/popular", f"late-{number}", host=host)
            assert late.status == 200

    run_fleet(scenario, gateways=4, apps=9, models=0)


def test_refusals_of_a_quarantined_request_are_accurate_and_have_retry_after():
    """Guards against "not run" in the refusal of a request that crashed endpoints."""

    async def scenario(fleet):
        set_crashing_body(fleet)
        answers = await send_crashing_requests(fleet, 12, 1.0, 4)
        ran = {a.request_id for a in fleet.arrivals if a.ran}
        refused = 0
        for number, answer in enumerate(answers):
            request_id = f"bad-{number // 2}-{number % 2}"
            assert answer.status in (502, 503)
            if answer.status == 503:
                refused += 1
                assert request_id not in ran
                assert float(answer.headers["retry-after"]) > 0
        assert refused >= 12

    run_fleet(scenario, gateways=4, apps=9, models=0)


async def check_quarantine_after(fleet, disrupt, settled_s=GOSSIP_S):
    """Let the request crash endpoints, disrupt the fleet, and send it again."""
    set_crashing_body(fleet)
    await send_crashing_requests(fleet, 3, 0.7, 4)
    third_s = crashes(fleet)[MAX_CRASHES - 1]
    await disrupt(fleet)
    await asyncio.sleep(settled_s)
    await send_crashing_requests(fleet, 6, 1.0, 4)
    assert len(crashing_requests_after(fleet, third_s + GOSSIP_S)) <= MAX_TRIALS


async def restart(fleet, names):
    for name in names:
        fleet.kill_gateway(name)
    await asyncio.sleep(0.5)
    for name in names:
        settings = fleet.gateways[name].settings
        await fleet.add_gateway(settings, fleet.network.serve_gossip)


ALL_GATEWAYS = tuple(f"gateway-{number}" for number in range(4))


@pytest.mark.parametrize("names", [ALL_GATEWAYS[:1], ALL_GATEWAYS])
def test_restarted_gateways_keep_the_request_quarantined(names):
    """Guards against losing the quarantine when one or all gateways restart."""

    async def disrupt(fleet):
        await restart(fleet, names)

    run_fleet(
        lambda fleet: check_quarantine_after(fleet, disrupt),
        gateways=4,
        apps=9,
        models=0,
    )


def test_gateway_that_starts_while_the_log_is_unavailable_learns_from_peers():
    """Guards against a start that cannot restore the quarantine from the log."""

    async def disrupt(fleet):
        await restart(fleet, ALL_GATEWAYS[:1])
        await asyncio.sleep(0.2)
        fleet.store.down = "silent"
        fleet.store.newest["keyed.quarantine"].clear()
        await asyncio.sleep(1.0)
        fleet.store.down = None

    run_fleet(
        lambda fleet: check_quarantine_after(fleet, disrupt),
        gateways=4,
        apps=9,
        models=0,
    )


def test_partitioned_gateway_learns_of_the_quarantine_once_reconnected():
    """Guards against a gateway that missed the gossip while it was partitioned."""

    async def scenario(fleet):
        fleet.network.isolated_hosts.add(HOSTS[0])
        set_crashing_body(fleet)
        for number in range(4):
            await call("/look/7", f"bad-{number}", body=CRASHING, host=HOSTS[1])
            await asyncio.sleep(0.7)
        third_s = crashes(fleet)[MAX_CRASHES - 1]
        fleet.network.isolated_hosts.clear()
        await asyncio.sleep(GOSSIP_S)
        for number in range(4):
            await call("/look/7", f"late-{number}", body=CRASHING, host=HOSTS[0])
        assert len(crashing_requests_after(fleet, third_s + GOSSIP_S)) <= MAX_TRIALS

    run_fleet(scenario, gateways=4, apps=9, models=0)


def test_quarantine_is_recorded_once_the_log_is_available_again():
    """Guards against a restart of all gateways after crashes during a log outage."""

    async def disrupt(fleet):
        fleet.store.down = None
        await asyncio.sleep(2.0)
        await restart(fleet, ALL_GATEWAYS)

    async def scenario(fleet):
        fleet.store.down = "reset"
        await check_quarantine_after(fleet, disrupt)

    run_fleet(scenario, gateways=4, apps=9, models=0)


@pytest.mark.parametrize("gateways", [5, 28])
def test_simultaneous_copies_at_all_gateways_do_not_all_run(gateways):
    """Guards against trials at several gateways before their claims arrive."""

    async def scenario(fleet):
        set_crashing_body(fleet)
        await call("/look/7", "bad-0", body=CRASHING)
        assert len(crashes(fleet)) == MAX_CRASHES
        await asyncio.sleep(2 * GOSSIP_S)
        began_s = asyncio.get_running_loop().time()
        await asyncio.gather(
            *(
                call("/look/7", f"late-{n}", body=CRASHING, host=f"10.0.1.{n + 1}")
                for n in range(gateways)
            )
        )
        assert 1 <= len(crashing_requests_after(fleet, began_s - 0.1)) <= MAX_TRIALS

    run_fleet(scenario, gateways=gateways, apps=9, models=0)
