"""Reported pace of machines, and the slowness of endpoints that gateways learn."""

import asyncio
from functools import cache

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciacove.bench.gateway_decision_cost import a_gateway, a_work
from acaciacove.bench.pace_trial import AgelessPace, UnusedPace, play
from acaciacove.decisions.endpoint_pace import MAX_REPORT_AGE_S, EndpointPace
from acaciacove.gateway.exchange import Exchange
from acaciacove.gateway.http.load_report import LoadReport
from acaciacove.gateway.peers.work_gossip import WorkGossip
from acaciacove.platform.header_fields import read_response
from tests.gateway_world import call, draft, lines, run_fleet

FIGURE = st.one_of(st.integers(-5, 200_000).map(str), st.sampled_from(["", "x", "²"]))


def read_load(text):
    fields = ((b"acaciacove-replica-load", text.encode("utf-8")),)
    head = read_response(503, b"", fields)
    return head.load, len(head.unreadable)


@given(st.lists(FIGURE, max_size=6))
@settings(derandomize=True, deadline=None, max_examples=300)
def test_load_is_read_in_full_or_noted_as_unreadable(words):
    """Guards against reports that are dropped silently, or read with a wrong figure."""
    used = [int(w) if w.isascii() and w.isdigit() else -1 for w in words[:4]]
    valid = len(used) >= 3 and min(used) >= 0 and used[2] >= 1
    pace = used[3] / 100 if len(used) == 4 else None
    valid = valid and (pace is None or 0 < pace <= 1000)
    expected = (LoadReport(*used[:3], pace), 0) if valid else (None, 1)
    assert read_load(",".join(words)) == expected


def test_an_endpoint_that_reports_no_pace_is_never_slow():
    """Guards against other choices in deployments without the fourth figure."""
    pace = EndpointPace()
    assert not pace.learn(expected_s=0.1, took_s=5.0, now_s=1.0)
    assert pace.slowness(1.0) == 1.0 and pace.own_slowness(1.0) == 1.0


def test_reports_are_averaged_and_expire():
    """Guards against an endpoint that is avoided for a report of seconds ago."""
    pace = EndpointPace()
    pace.report(3.0, 10.0)
    single = pace.machine_pace(10.0)
    for number in range(20):
        pace.report((2.0, 4.0)[number % 2], 10.0 + 0.05 * number)
    assert 1.5 < single < 2.5 < pace.machine_pace(11.0) < 3.2
    ages_s = [0.2 * step for step in range(20)]
    paces = [pace.machine_pace(11.0 + age_s) for age_s in ages_s]
    assert paces == sorted(paces, reverse=True)
    assert pace.machine_pace(10.95 + MAX_REPORT_AGE_S) == 1.0


def test_own_slowness_is_learnt_apart_from_the_machine():
    """Guards against a fast endpoint that is held to be slow for a noisy neighbour."""
    pace = EndpointPace()
    became_known = 0
    for step in range(400):
        now_s = 0.1 * step
        machine = 3.0 if step % 100 < 40 else 1.0
        pace.report(machine, now_s)
        became_known += pace.learn(0.1, 0.1 * 0.625 * machine, now_s)
    assert became_known == 1
    assert pace.own_slowness(40.0) == pytest.approx(0.625, rel=0.15)
    assert pace.slowness(40.0) == pytest.approx(0.625, rel=0.15)
    # What is no longer confirmed loses its weight.
    assert pace.own_slowness(1_000.0) == pytest.approx(1.0, abs=0.01)


def test_every_response_reports_and_slowness_becomes_known():
    """Guards against reports of refusals that are dropped, and a silent estimate."""

    async def scenario(fleet):
        gateway = fleet.gateways["gateway-0"]
        for number, server in enumerate(fleet.endpoints.values()):
            server.behaviour.pace_percent = 100
            server.behaviour.work_s = 0.02 * (1 + number % 2)
        for number in range(60):
            await call("/look/1", f"r-{number}", method="GET")
            await draft(f"d-{number}")
        paces = {s.endpoint.instance: s.pace for s in gateway.gateway.states.all()}
        assert paces["app-0"].own_slowness(60.0) < paces["app-1"].own_slowness(60.0)
        known = {line["endpoint"] for line in lines(fleet, "endpoint_slowness_known")}
        assert known == {name for name, pace in paces.items() if pace.is_own_known}
        assert "app-0" in known
        fleet.endpoints["app-0"].behaviour.pace_percent = 300
        fleet.endpoints["app-0"].behaviour.full = True
        await call("/look/1", "r-refused", method="GET")
        assert paces["app-0"].machine_pace(asyncio.get_running_loop().time()) > 1.0
        gauges = gateway.pages.metrics_page().decode()
        assert 'endpoint_slowness{of="highest",service="app"}' in gauges

    run_fleet(scenario)


def test_work_takes_longer_at_a_slow_endpoint():
    """Guards against work that is counted at normal speed at a slow machine, and
    against a prefill latency or gossip that carries one machine's pace to others.
    """
    gateway, peer = a_gateway(1), a_gateway(1)
    (endpoint,) = gateway.view.endpoints.values()
    state, at_peer = gateway.states.of(endpoint), peer.states.of(endpoint)
    for pace in (state.pace, at_peer.pace):
        for _ in range(20):
            pace.report(3.0, 5.0)
    slowness = state.pace.slowness(5.0)
    sent = []
    gateway.gossip_work = lambda work, now_s: sent.append(work)
    exchange = Exchange(gateway, a_work(gateway, 1), state)
    prefill = gateway.prefill_latency("model", "small")
    normal_s = prefill.predict_s(7200.0)
    exchange.enqueue(5.0)
    assert sent[0].work_s == normal_s
    WorkGossip(tuple, None, peer.states, peer.log).apply(sent[0], 5.0)
    for backlog in (state.backlog, at_peer.backlog):
        assert backlog.drained_at_s == pytest.approx(5.0 + slowness * normal_s)
    later_s = 5.0 + state.pace.slowness(5.0 + slowness * normal_s) * normal_s
    exchange.record_first_chunk(later_s)
    assert prefill.predict_s(7200.0) == pytest.approx(normal_s, rel=0.05)


# How far the mean time has to be below that without the estimate, or without ageing.
BETTER = 0.95
# Gateways herd if requests are more uneven, or turn more often, than with an oracle.
HERD = 1.15
play_once = cache(play)


# Before 5 gateways the waits of prompts tell almost as much as the paces do.
@pytest.mark.parametrize(
    ("gateways", "with_prompts"),
    [(5, False), (24, False), (68, False), (380, False), (24, True), (380, True)],
)
def test_requests_take_less_time_where_paces_count_and_expire(gateways, with_prompts):
    """Guards against endpoints of uneven speed that count as equal, and against
    reports that hold for ever.
    """
    trial = play_once(gateways, 1, EndpointPace, with_prompts)
    for worse in (UnusedPace, AgelessPace):
        reference = play_once(gateways, 1, worse, with_prompts)
        assert trial.mean_s < BETTER * reference.mean_s


@pytest.mark.parametrize("gateways", [5, 24, 68, 380])
def test_many_gateways_do_not_herd_before_endpoints_of_changing_pace(gateways):
    """Guards against gateways that all go where it looked best to all of them.

    One play has too few turns to compare: an oracle makes 14 with the first seed, and
    30 on average over four, so those of three are compared.
    """
    trials = [play_once(gateways, seed, EndpointPace, True) for seed in (1, 2, 3)]
    busiest = sum(trial.busiest for trial in trials)
    assert busiest < HERD * sum(trial.oracle_busiest for trial in trials)
    turns = sum(trial.turns for trial in trials)
    assert turns < HERD * sum(trial.oracle_turns for trial in trials)
