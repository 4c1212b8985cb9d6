"""A balancer that hands most new connections of a zone to one gateway."""

import asyncio

import pytest

from acaciacove.decisions.connection_shedder import (
    DESCRIPTOR_SHARE,
    MAX_LAG_S,
    MIN_LATE_ROUNDS,
    RECOVERY_S,
    ConnectionShedder,
    max_connections,
)
from acaciacove.gateway.watch_load import WATCH_INTERVAL_S, record_lag
from tests.gateway_world import Caller, call, lines, model_fields, run_fleet

# Requests that are read are served at the first attempt at least this share as often as
# before, from this time after the beginning.
MIN_SHARE = 0.75
SETTLED_S = 3.0
LATE_S = 2.0 * MAX_LAG_S


async def send_requests(for_s, per_s, host_of):
    """Send streams, lookups and bookings, each on a connection of its own."""
    loop = asyncio.get_running_loop()
    answers, tasks, until_s, number = [], [], loop.time() + for_s, 0

    async def send(number):
        request_id, sent_s = f"r-{loop.time():.3f}-{number}", loop.time()
        path = ("/draft/1", "/look/1", "/book/1")[number % 3]
        fields = model_fields(f"s{number % 40}") if path == "/draft/1" else ()
        host = host_of(number)
        answer = await call(path, request_id, host=host, fields=fields)
        answers.append((request_id, sent_s, answer))

    while loop.time() < until_s:
        tasks.append(asyncio.create_task(send(number)))
        number += 1
        await asyncio.sleep(1.0 / per_s)
    await asyncio.gather(*tasks)
    return answers


def served_share(fleet, answers, from_s):
    tries = {}
    for arrival in fleet.arrivals:
        tries[arrival.request_id] = tries.get(arrival.request_id, 0) + 1
    found = [
        answer.status == 200 and answer.complete and tries.get(request_id) == 1
        for request_id, sent_s, answer in answers
        if sent_s >= from_s
    ]
    return sum(found) / len(found)


@pytest.mark.parametrize("gateways", [4, 28])
def test_gateway_with_most_new_connections_serves_what_it_reads(gateways):
    """Guards against shares of the fleet's limits that starve the one busy gateway."""

    async def scenario(fleet):
        loop = asyncio.get_running_loop()
        usual = await send_requests(4.0, 30.0, lambda n: f"10.0.1.{n % gateways + 1}")
        began_s = loop.time()
        busy = await send_requests(4.0 + SETTLED_S, 60.0, lambda n: "10.0.1.1")
        before = served_share(fleet, usual, 0.0)
        assert before > 0.9
        after = served_share(fleet, busy, began_s + SETTLED_S)
        assert after >= MIN_SHARE * before

    run_fleet(scenario, gateways=gateways, models=9, apps=4)


def test_overloaded_gateway_closes_new_connections_unread_and_is_not_ready():
    """Guards against a gateway that reads all requests and serves all of them late."""

    async def scenario(fleet):
        running = fleet.gateways["gateway-0"]
        kept = await Caller().open()
        assert (await kept.request("/look/1", "r-1", method="GET")).status == 200
        for _ in range(MIN_LATE_ROUNDS):
            record_lag(running.gateway, LATE_S)
        assert not running.pages.is_ready()
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError, EOFError)):
            answer = await call("/look/1", "r-2", method="GET")
            if not answer.status:
                raise EOFError
        assert all(a.request_id != "r-2" for a in fleet.arrivals)
        assert (await kept.request("/look/1", "r-3", method="GET")).status == 200
        await asyncio.sleep(RECOVERY_S + 2 * WATCH_INTERVAL_S)
        assert running.pages.is_ready()
        assert (await call("/look/1", "r-4", method="GET")).status == 200
        assert lines(fleet, "connections_taken")[0]["refused"] == 1

    run_fleet(scenario)


def test_gateway_without_descriptors_for_callers_is_not_ready():
    """Guards against a balancer that goes on with a gateway that takes nobody."""

    async def scenario(fleet):
        running = fleet.gateways["gateway-0"]
        kept = [await Caller().open() for _ in range(7)]
        await asyncio.sleep(0.1)
        assert not running.pages.is_ready()
        kept[0].disconnect()
        await asyncio.sleep(0.1)
        assert running.pages.is_ready()

    run_fleet(scenario, descriptor_limit=10)


def test_one_pause_of_the_process_refuses_nobody():
    """Guards against callers who are turned away after a pause that is over."""
    shedder = ConnectionShedder()
    assert not shedder.record_lag(8.0, 10.0)
    assert not shedder.record_lag(0.0, 10.1)
    assert shedder.may_accept(5)


def test_lag_that_comes_and_goes_does_not_switch_back_and_forth():
    shedder = ConnectionShedder()
    for step in range(MIN_LATE_ROUNDS):
        shedder.record_lag(LATE_S, float(step))
    assert shedder.is_overloaded and not shedder.may_accept(0)
    for step in range(10):
        shedder.record_lag(0.1 * (step % 2), 4.0 + step / 10.0)
    assert shedder.is_overloaded
    shedder.record_lag(0.0, 6.0)
    assert shedder.record_lag(0.0, 6.0 + RECOVERY_S)
    assert not shedder.is_overloaded


def test_connections_leave_descriptors_for_endpoints_and_the_log():
    """Guards against callers' connections that leave none for endpoints."""
    shedder = ConnectionShedder(max_connections(4_000))
    limit = int(DESCRIPTOR_SHARE * 4_000)
    assert shedder.may_accept(limit - 1) and not shedder.may_accept(limit)
    assert ConnectionShedder().may_accept(10**6)


@pytest.mark.parametrize("is_shed", [False, True])
def test_callers_of_a_gateway_with_too_much_to_do_are_served_or_sent_away(is_shed):
    """Load: one gateway gets 1.5 times what its processor serves, for ten seconds.

    Callers wait 1 s. Without shedding, the queue grows until all answers are late.
    """
    work_s, per_s, patience_s = 0.01, 150, 1.0
    shedder, queue, in_time, read, now_s, late = ConnectionShedder(), [], 0, 0, 0.0, 0
    arrivals = [n / per_s for n in range(10 * per_s)]
    while arrivals or queue:
        began_s = now_s
        while arrivals and arrivals[0] <= now_s:
            arrived_s = arrivals.pop(0)
            if not is_shed or shedder.may_accept(len(queue)):
                queue.append(arrived_s)
        batch, queue = queue, []
        for arrived_s in batch:
            now_s += work_s
            read += 1
            in_time += now_s - arrived_s <= patience_s
            late += now_s - arrived_s > patience_s
        now_s = max(now_s, began_s + WATCH_INTERVAL_S)
        shedder.record_lag(now_s - began_s - WATCH_INTERVAL_S, now_s)
    share = in_time / read
    assert share >= MIN_SHARE if is_shed else share < MIN_SHARE
