"""The bench measures what it says, and the aims hold on small fixed runs."""

from itertools import pairwise

import orjson
import pytest

from acaciacove.bench.engine_settings import EngineSettings
from acaciacove.bench.event_queue import EventQueue
from acaciacove.bench.fake_engine import FakeEngine
from acaciacove.bench.fake_request import FakeRequest
from acaciacove.bench.scenario import SCENARIOS, print_report
from acaciacove.bench.scenario_settings import ScenarioSettings
from acaciacove.errors import InvalidSettingsError


def run(name, policy="ours", **changes):
    return SCENARIOS[name](ScenarioSettings(seed=1, policy=policy, **changes))


def test_the_last_line_of_a_report_is_one_json_object(capsys):
    report = run("overload", policy="", duration_s=40.0, endpoints=2)
    print_report(report, as_json=True)
    document = orjson.loads(capsys.readouterr().out.splitlines()[-1])
    assert list(document) == ["scenario", "seed", "ours", "baselines"]
    assert document["ours"] == pytest.approx(report.ours)
    assert set(document["baselines"]) == {"first_come"}


def test_a_seed_gives_the_same_figures_every_time():
    first, second = (run("zone_move", duration_s=60.0).ours for _ in range(2))
    assert first == second


def test_an_unknown_policy_is_refused_by_name():
    with pytest.raises(InvalidSettingsError, match="first_come"):
        run("overload", policy="nonsense")


def test_an_engine_is_slower_the_more_it_runs_and_thrashes_when_cold():
    ended = {}
    for label, count, cold in (
        ("one", 1, False),
        ("many", 16, False),
        ("cold", 4, True),
    ):
        events = EventQueue()
        engine = FakeEngine(events, EngineSettings())
        if cold:
            engine.turn_cold()
        for n in range(count):
            request = FakeRequest(f"{label}-{n}", 0.0, "org", 100.0)
            engine.start(request, lambda ended_, ok: None)
        events.run()
        ended[label] = request.ended_at_s
        assert engine.over_count == (2 if cold else 0)
    assert all(a < b for a, b in pairwise(ended[k] for k in ("one", "many", "cold")))


def test_a_zone_leaves_and_returns_with_nothing_cut():
    # An operator takes a zone out at two thirds of the load and brings it back with
    # cold endpoints. A cut answer or new work in the zone is what callers notice.
    figures = run("zone_move").ours
    assert figures["failed_or_cut"] == 0.0
    assert figures["late_starts_in_zone"] == 0.0
    assert figures["p99_ratio_after_out"] <= 1.5
    assert figures["p99_ratio_after_return"] <= 1.5


def test_cold_endpoints_get_no_more_than_they_bear():
    # An endpoint restarts, and another turns cold without a word. Given the load of a
    # warm one, each would fall over and drag its callers along.
    figures = run("cold_start").ours
    assert figures["over_announced"] == 0.0
    assert figures["over_after_noticed"] == 0.0
    assert figures["full_service_warm_ups"] <= 1.5


def test_at_twice_the_capacity_the_work_done_stays_useful():
    # Callers send twice what the fleet can do. Served in order of arrival, nearly
    # every answer would come too late to be of use.
    report = run("overload", policy="", duration_s=90.0)
    assert report.ours["goodput_share"] >= 0.95
    assert report.ours["untrue_refusals"] == 0.0
    assert report.baselines["first_come"]["goodput_share"] < 0.5


def test_a_flood_hurts_only_its_sender():
    # One organisation sends ten times its share. In a first-come queue everybody
    # waits behind it.
    figures = run("fairness", duration_s=120.0).ours
    assert figures["others_p99_ratio"] <= 1.2
    assert figures["jain_overloaded"] >= 0.98
    assert figures["jain_zone_move"] >= 0.98


def test_a_short_learning_run_meets_the_quality_target_for_less():
    figures = run("cascade", duration_s=900.0).ours
    assert figures["least_class_quality"] >= 0.8
    assert figures["cost_of_always_best"] < 0.6


def test_load_stays_even_with_many_entries_and_old_reports():
    figures = run("balance", entries=24, duration_s=45.0).ours
    assert figures["p99_over_perfect_24"] <= 1.3
