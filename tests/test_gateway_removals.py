"""Removed and expired entries of endpoints, combined with failing calls to the log."""

import asyncio

import pytest
from attrs import evolve

from acaciacove.gateway.relay import serve_records
from acaciacove.gateway.relay.reader_order import reader_order
from acaciacove.gateway.relay.serve_records import reply_to
from acaciacove.standins.gateway_fleet import ENDPOINTS
from tests.gateway_world import run_fleet

DRAINS_S = (1.0, 2.0)
HEARTBEATS_S = (0.2, 1.2, 2.0)
FLEET_SIZES = (1, 5)
LARGE_FLEET = 28
# Gateways comply with their limits again this long after a failure has ended.
RECOVERY_S = 3.0
# Entries that expired in an outage are registered again within this time.
REREGISTRATION_S = 2.0
EXPIRY_HEARTBEATS = 3
APPS = ("app-0", "app-1")


def gateways_with(fleet, instance):
    """Return the gateways that would still send requests to an endpoint."""
    return [
        name
        for name, running in fleet.gateways.items()
        if instance in running.gateway.view.endpoints
    ]


def remove(fleet, instance):
    fleet.store.append(ENDPOINTS, instance, b"")


def reject_calls(fleet, how, *names):
    fleet.store.down, fleet.store.failing_callers = how, frozenset(names)


def restore_log(fleet):
    reject_calls(fleet, None)


async def expire_during_outage(fleet, outage_s, instances):
    """Let entries expire while the log is unavailable to all gateways."""
    await asyncio.sleep(2.0)
    fleet.store.down = "busy"
    await asyncio.sleep(outage_s)
    for instance in instances:
        remove(fleet, instance)
    restore_log(fleet)


async def check_dropped(fleet, instance, drain_s):
    await asyncio.sleep(drain_s)
    assert gateways_with(fleet, instance) == []


async def check_used(fleet, instances, for_s):
    for _ in range(round(for_s / 0.05)):
        for instance in instances:
            assert len(gateways_with(fleet, instance)) == len(fleet.gateways)
        await asyncio.sleep(0.05)


@pytest.mark.parametrize("gateways", FLEET_SIZES)
@pytest.mark.parametrize("heartbeat_s", HEARTBEATS_S)
@pytest.mark.parametrize("drain_s", DRAINS_S)
@pytest.mark.parametrize("how", ["busy", "reset"])
def test_one_gateways_failed_calls_delay_no_removal(
    how, drain_s, heartbeat_s, gateways
):
    """Guards against a removal taken for an expiry after one gateway's failed call."""

    async def scenario(fleet):
        await asyncio.sleep(2.0)
        reader = reader_order(fleet.gateways)[0]
        reject_calls(fleet, how, reader)
        await asyncio.sleep(0.25)
        remove(fleet, "app-0")
        asyncio.get_running_loop().call_later(0.15, restore_log, fleet)
        await check_dropped(fleet, "app-0", drain_s)

    run_fleet(scenario, gateways=gateways, drain_s=drain_s, heartbeat_s=heartbeat_s)


@pytest.mark.parametrize("place", [0, 1, 4])
@pytest.mark.parametrize("drain_s", DRAINS_S)
def test_a_rejected_gateway_gets_removals_from_peers(drain_s, place):
    """Guards against a long rejection of one gateway's calls taken for an outage."""

    async def scenario(fleet):
        await asyncio.sleep(2.0)
        reject_calls(fleet, "busy", reader_order(fleet.gateways)[place])
        for instance in APPS:
            await asyncio.sleep(4.0)
            remove(fleet, instance)
            await check_dropped(fleet, instance, drain_s)

    run_fleet(scenario, gateways=5, drain_s=drain_s)


@pytest.mark.parametrize("gateways", [4, 5, LARGE_FLEET])
@pytest.mark.parametrize("drain_s", DRAINS_S)
def test_the_last_gateways_that_reach_the_log_relay_removals(drain_s, gateways):
    """Guards against a fleet that fails to ask the one gateway that reads the log."""

    async def scenario(fleet):
        await asyncio.sleep(2.0)
        order = reader_order(fleet.gateways)
        fleet.kill_gateway(order[0])
        del fleet.gateways[order[0]]
        reject_calls(fleet, "busy", *order[1:3])
        for instance in APPS:
            await asyncio.sleep(RECOVERY_S)
            remove(fleet, instance)
            await check_dropped(fleet, instance, drain_s)

    run_fleet(scenario, gateways=gateways, drain_s=drain_s)


@pytest.mark.parametrize("frozen", [1, 2, 3, 4])
@pytest.mark.parametrize("drain_s", DRAINS_S)
def test_silent_gateways_hide_no_removal(drain_s, frozen, monkeypatch):
    """Guards against a gateway that tries every silent peer before it reads the log."""
    silent = []

    async def stay_silent(request, tail, *rest):
        if any(tail is other for other in silent):
            await asyncio.Event().wait()
        return await reply_to(request, tail, *rest)

    monkeypatch.setattr(serve_records, "reply_to", stay_silent)

    async def scenario(fleet):
        await asyncio.sleep(2.0)
        for name in reader_order(fleet.gateways)[:frozen]:
            silent.extend(fleet.gateways.pop(name).gateway.tails.values())
        # Requests that are already waiting still get a reply.
        await asyncio.sleep(0.55)
        remove(fleet, "app-0")
        await check_dropped(fleet, "app-0", drain_s)

    run_fleet(scenario, gateways=5, drain_s=drain_s)


@pytest.mark.parametrize("outage_s", [4.9, 5.0, 5.1, 5.2, 5.3, 5.4])
@pytest.mark.parametrize("drain_s", DRAINS_S)
def test_a_removal_after_an_outage_takes_effect(drain_s, outage_s):
    """Guards against calls that hung with the log and fail seconds after recovery."""

    async def scenario(fleet):
        await asyncio.sleep(2.0)
        fleet.store.down = "silent"
        await asyncio.sleep(outage_s)
        restore_log(fleet)
        await asyncio.sleep(RECOVERY_S + 0.05)
        remove(fleet, "app-0")
        await check_dropped(fleet, "app-0", drain_s)

    run_fleet(scenario, gateways=5, drain_s=drain_s)


@pytest.mark.parametrize("outage_s", [2.0, 4.9, 5.0, 5.1, 5.2, 5.3, 5.4, 5.5])
@pytest.mark.parametrize("gateways", [*FLEET_SIZES, LARGE_FLEET])
def test_all_gateways_recover_before_their_limits_apply_again(gateways, outage_s):
    """Guards against gateways that learn of a removal seconds after the others."""

    async def scenario(fleet):
        await asyncio.sleep(2.0)
        fleet.store.down = "silent"
        await asyncio.sleep(outage_s)
        restore_log(fleet)
        recovered_s = fleet.boot_time_s()
        await asyncio.sleep(RECOVERY_S)
        views = [running.gateway.view for running in fleet.gateways.values()]
        assert min(v.endpoints_confirmed_boot_s for v in views) >= recovered_s
        assert min(v.confirmed_boot_s for v in views) >= recovered_s

    run_fleet(scenario, gateways=gateways)


@pytest.mark.parametrize("gateways", FLEET_SIZES)
@pytest.mark.parametrize("heartbeat_s", HEARTBEATS_S)
@pytest.mark.parametrize("how", ["busy", "reset", "silent"])
def test_live_endpoints_with_expired_entries_stay_in_use(how, heartbeat_s, gateways):
    """Guards against a service without endpoints after each outage of the log."""

    async def scenario(fleet):
        await asyncio.sleep(2.0)
        fleet.store.down = how
        expiry_s = EXPIRY_HEARTBEATS * heartbeat_s
        await asyncio.sleep(expiry_s)
        for instance in APPS:
            remove(fleet, instance)
        await asyncio.sleep(0.5)
        restore_log(fleet)
        reregistered_s = min(REREGISTRATION_S, heartbeat_s)
        await check_used(fleet, APPS, reregistered_s)
        for instance in APPS:
            fleet.register(fleet.endpoints[instance].report)
        await check_used(fleet, APPS, 2 * REREGISTRATION_S)

    run_fleet(scenario, gateways=gateways, heartbeat_s=heartbeat_s)


@pytest.mark.parametrize("gateways", [*FLEET_SIZES, LARGE_FLEET])
def test_entries_that_expire_after_the_recovery_stay_in_use(gateways):
    """Guards against an entry that the log expires late, taken for a removal."""

    async def scenario(fleet):
        await asyncio.sleep(2.0)
        fleet.store.down = "busy"
        await asyncio.sleep(3.0)
        restore_log(fleet)
        await asyncio.sleep(0.7)
        remove(fleet, "app-0")
        await check_used(fleet, ("app-0",), 0.8)
        fleet.register(fleet.endpoints["app-0"].report)
        await check_used(fleet, ("app-0",), REREGISTRATION_S)

    run_fleet(scenario, gateways=gateways)


def test_expired_entries_are_retained_in_a_second_outage():
    """Guards against endpoints removed while the log cannot show that they are live."""

    async def scenario(fleet):
        await expire_during_outage(fleet, 3.0, APPS)
        await check_used(fleet, APPS, 1.0)
        fleet.store.down = "busy"
        await check_used(fleet, APPS, 3.0)
        restore_log(fleet)
        await check_used(fleet, APPS, 1.0)
        for instance in APPS:
            fleet.register(fleet.endpoints[instance].report)
        await check_used(fleet, APPS, REREGISTRATION_S)

    run_fleet(scenario, gateways=5)


def test_an_endpoint_that_does_not_register_again_is_dropped():
    """Guards against requests to a dead endpoint long after an outage."""

    async def scenario(fleet):
        await expire_during_outage(fleet, 3.0, ["app-0"])
        await asyncio.sleep(REREGISTRATION_S + 2.0)
        assert gateways_with(fleet, "app-0") == []

    run_fleet(scenario, gateways=5)


@pytest.mark.parametrize("gateways", [*FLEET_SIZES, LARGE_FLEET])
def test_a_removal_after_a_new_registration_is_final(gateways):
    """Guards against requests to an endpoint that registered again and then left."""

    async def scenario(fleet):
        await expire_during_outage(fleet, 4.0, APPS)
        await asyncio.sleep(1.0)
        fleet.register(fleet.endpoints["app-0"].report)
        await asyncio.sleep(0.4)
        remove(fleet, "app-0")
        await asyncio.sleep(0.6)
        assert gateways_with(fleet, "app-0") == []
        # This one has not registered since, so its entry may have expired in the
        # outage.
        assert len(gateways_with(fleet, "app-1")) == gateways

    run_fleet(scenario, gateways=gateways)


async def leave_during_outage(fleet, how, outage_s):
    """Return the gateways that still use an endpoint when their limits apply again."""
    await asyncio.sleep(2.0)
    fleet.store.down = how
    await asyncio.sleep(outage_s)
    remove(fleet, "app-0")
    restore_log(fleet)
    await asyncio.sleep(RECOVERY_S)
    return gateways_with(fleet, "app-0")


@pytest.mark.parametrize("how", ["busy", "reset"])
@pytest.mark.parametrize("outage_s", [5.0 + 0.1 * step for step in range(10)])
def test_an_endpoint_that_left_in_an_outage_is_dropped_in_time(outage_s, how):
    """Guards against requests to an endpoint whose entry was removed while the log was
    away, for as long as a read that finds nothing waits: it may have left.
    """
    assert run_fleet(lambda fleet: leave_during_outage(fleet, how, outage_s)) == []


@pytest.mark.parametrize("outage_s", [5.0 + 0.1 * step for step in range(10)])
def test_an_endpoint_that_left_in_a_silent_outage_is_dropped_in_time(outage_s):
    """Guards against the same after an outage in which calls get no answer: the return
    of the log is noticed up to a call's time-out late.
    """
    assert run_fleet(lambda fleet: leave_during_outage(fleet, "silent", outage_s)) == []


async def write_heartbeats(fleet, instances, every_s):
    """Register endpoints again and again, as they do while the log is available."""
    while True:
        await asyncio.sleep(every_s)
        for instance in instances:
            fleet.register(fleet.endpoints[instance].report)


@pytest.mark.parametrize("cut_s", [1.1, 1.6, 2.2, 2.9, 3.5, 4.1, 4.7, 5.2, 5.4])
@pytest.mark.parametrize("leaves_before_end_s", [0.1, 1.0])
@pytest.mark.parametrize("gateways", FLEET_SIZES)
def test_an_endpoint_that_left_while_a_gateway_was_cut_off_is_dropped_in_time(
    gateways, leaves_before_end_s, cut_s
):
    """Guards against requests to an endpoint that has left: the log was available all
    the time, but the cut gateway takes the removal for an expiry, counts from the
    moment at which it notices the log's return, and notices that late.
    """

    async def scenario(fleet):
        heartbeats = asyncio.create_task(write_heartbeats(fleet, ["app-1"], 1.2))
        await asyncio.sleep(2.0)
        reject_calls(fleet, "silent", reader_order(fleet.gateways)[0])
        await asyncio.sleep(cut_s - leaves_before_end_s)
        remove(fleet, "app-0")
        await asyncio.sleep(leaves_before_end_s)
        restore_log(fleet)
        await check_used(fleet, ["app-1"], RECOVERY_S)
        heartbeats.cancel()
        assert gateways_with(fleet, "app-0") == []

    run_fleet(scenario, gateways=gateways)


@pytest.mark.parametrize("endpoints", [4, 30])
@pytest.mark.parametrize("outage_s", [5.0, 5.2, 5.4, 5.6, 5.8])
def test_retained_entries_of_a_large_service_are_dropped_in_time(outage_s, endpoints):
    """Guards against the same while reads are half a second apart, as they are for many
    endpoints: the read that shows that an entry is not back came up to a pause late.
    """

    async def scenario(fleet):
        assert len(fleet.endpoints) == endpoints
        return await leave_during_outage(fleet, "silent", outage_s)

    assert run_fleet(scenario, apps=endpoints, models=0) == []


@pytest.mark.parametrize("late_s", [0.1, 1.0, 4.9])
@pytest.mark.parametrize("is_removed", [False, True])
def test_a_report_that_the_log_executes_late_brings_no_endpoint_back(
    is_removed, late_s
):
    """Guards against requests to an endpoint that has said that it leaves, or has left:
    an earlier report of it is executed after that.
    """

    async def scenario(fleet):
        await asyncio.sleep(2.0)
        sent = evolve(fleet.endpoints["app-0"].report, started_ms=7, sequence=10)
        fleet.register(sent)
        fleet.register(evolve(sent, sequence=12, draining=True))
        await asyncio.sleep(1.0)
        if is_removed:
            remove(fleet, "app-0")
        await asyncio.sleep(late_s)
        fleet.register(evolve(sent, sequence=11))
        await asyncio.sleep(1.0)
        (running,) = fleet.gateways.values()
        known = running.gateway.view.endpoints.get("app-0")
        assert known is None if is_removed else known.draining

    run_fleet(scenario)


def test_a_report_of_a_later_start_or_long_after_a_newer_one_is_believed():
    """Guards against an endpoint that is never used again: it has started anew under
    its name, its clock was set back, or another program wrote its entry.
    """

    async def scenario(fleet):
        await asyncio.sleep(2.0)
        first = evolve(fleet.endpoints["app-0"].report, started_ms=7_000, sequence=99)
        (running,) = fleet.gateways.values()
        endpoints = running.gateway.view.endpoints
        fleet.register(evolve(first, draining=True))
        for started_ms in (8_000, 6_000):
            fleet.register(evolve(first, started_ms=started_ms, sequence=1))
            await asyncio.sleep(1.0)
            assert endpoints["app-0"].incarnation == str(started_ms)
            assert not endpoints["app-0"].draining
        fleet.register(evolve(first, sequence=2**53 - 1, draining=True))
        await asyncio.sleep(11.0)
        fleet.register(evolve(first, sequence=100))
        await asyncio.sleep(1.0)
        assert not endpoints["app-0"].draining

    run_fleet(scenario)
