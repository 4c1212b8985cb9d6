"""Verdicts on new versions, simulated without a network."""

import pytest

from acaciacove.bench.judge_fault import JUDGE_FAULTS
from acaciacove.bench.judge_plays import play_rollout
from acaciacove.gateway.catalogue.rollout_order import RolloutOrder
from acaciacove.gateway.rollout.cell_counts import CellCounts
from acaciacove.gateway.rollout.evidence import Evidence
from acaciacove.gateway.rollout.judge import judge
from acaciacove.gateway.rollout.rollout_phase import RolloutPhase
from acaciacove.gateway.rollout.rollout_progress import RolloutProgress
from acaciacove.gateway.rollout.rollout_settings import RolloutSettings
from acaciacove.gateway.rollout.rollout_steps import may_complete, step
from acaciacove.gateway.rollout.verdict import Verdict
from acaciacove.gateway.rollout.version_capacity import VersionCapacity

RUNS = 6
ENOUGH = VersionCapacity(target=5, old=5)
NINE_KINDS = [f"{route}|{model}" for route in "abc" for model in ("s", "m", "l")]
# Faults that affect too few requests to be distinguished from chance in one roll-out.
FAINT = ("none, one request in ten fails everywhere", "fails one in twenty")


def evidence(target, old):
    return Evidence(target, old, {}, 1)


def test_answers_without_time_comparison_prove_nothing():
    """A version takes eight times as long as the old one. Its few answers are spread
    over nine kinds of request: none failed, and no kind has enough times to compare.
    Judged sound, it would go to every caller and answer late.
    """
    old = {
        kind: CellCounts(answers=24, timed=24, judged=24, late=2) for kind in NINE_KINDS
    }
    uncompared = {kind: CellCounts(answers=3, timed=3) for kind in NINE_KINDS}
    slow = {kind: CellCounts(answers=2, judged=3, late=2) for kind in NINE_KINDS}
    assert judge(evidence(uncompared, old)) is Verdict.UNKNOWN
    assert judge(evidence(slow, old)) is Verdict.BAD


def test_route_without_trial_requests_is_not_proven():
    """A version fails on one route only, and no trial request used that route. Answers
    on other routes prove nothing about it.
    """
    old = {f"{route}|s": CellCounts(100, 0, 100, 0.0, 100, 5) for route in "ab"}
    one_route = {"a|s": CellCounts(60, 0, 60, 0.0, 60, 3)}
    assert judge(evidence(one_route, old)) is Verdict.UNKNOWN
    both_routes = one_route | {"b|s": CellCounts(15, 0, 15, 0.0, 15, 1)}
    assert judge(evidence(both_routes, old)) is Verdict.GOOD


def test_one_slow_endpoint_does_not_fail_the_version():
    """One of four new endpoints is on a slow host. Its late answers alone must not
    cause a rollback.
    """
    old = {"a|s": CellCounts(200, 0, 200, 0.0, 200, 10)}
    target = {"a|s": CellCounts(60, 0, 60, 0.0, 60, 18)}
    endpoints = {
        f"new-{n}": CellCounts(15, 0, 0, 0.0, 15, 15 if n == 0 else 1) for n in range(4)
    }
    assert judge(Evidence(target, old, {}, 1)) is Verdict.BAD
    assert judge(Evidence(target, old, endpoints, 4)) is not Verdict.BAD


def test_one_failing_endpoint_does_not_fail_the_version():
    """The first answers of a new version come from one endpoint of five, and all are
    failures. Failures of a single endpoint must not cause a rollback.
    """
    old = {"a|s": CellCounts(200, 0, 200, 0.0, 200, 10)}
    target = {"a|s": CellCounts(answers=4, failures=4)}
    one = {"new-0": CellCounts(answers=4, failures=4)}
    two = {f"new-{n}": CellCounts(answers=2, failures=2) for n in range(2)}
    assert judge(Evidence(target, old, one, 5)) is Verdict.UNKNOWN
    assert judge(Evidence(target, old, two, 5)) is Verdict.BAD
    assert judge(Evidence(target, old, one, 1)) is Verdict.BAD


def make_order(duration_s=20.0):
    return RolloutOrder("model", "v2", duration_s, 1, 0.0)


def test_abandoned_requests_of_a_slow_version_count_as_late():
    """Callers of a stalled version abandon their requests before any answer. If only
    answers counted, there would never be evidence against the version.
    """
    progress = RolloutProgress(make_order())
    for number in range(20):
        request = progress.record_sent(False, "a|s", f"old-{number % 3}", 0.0)
        progress.record_answer(request, False, 0.2)
    progress.record_late_requests(1.0)
    requests = [
        progress.record_sent(True, "a|s", f"new-{n % 3}", 1.0) for n in range(12)
    ]
    for request in requests[:6]:
        progress.abandon(request, 2.0)
    progress.record_late_requests(2.0)
    counts = progress.cells(True)["a|s"]
    assert (counts.answers, counts.judged, counts.late) == (0, 12, 12)
    step(progress, RolloutSettings(), ENOUGH, 2.1)
    assert progress.phase is RolloutPhase.STOPPED
    assert progress.judged_bad
    for request in requests[6:]:
        progress.record_answer(request, False, 3.0)
    assert progress.cells(True)["a|s"].late == 12


def make_sound_progress(now_s):
    """Return a roll-out with enough evidence that the new version is sound."""
    progress = RolloutProgress(make_order())
    for is_target, times in ((False, 60), (True, 40)):
        for number in range(times):
            endpoint = f"{is_target}-{number % 3}"
            request = progress.record_sent(is_target, "a|s", endpoint, now_s)
            progress.record_answer(request, False, 0.2)
        progress.record_late_requests(now_s)
    for number in range(40):
        request = progress.record_sent(True, "a|s", f"True-{number % 3}", now_s)
        progress.record_answer(request, False, 0.2)
    return progress


def test_version_without_enough_endpoints_does_not_take_over():
    """Only two of five new endpoints remain at the end of the roll-out. Completion
    would stop the old five, and two endpoints would get the full load.
    """
    settings = RolloutSettings()
    few = VersionCapacity(target=2, old=5)
    progress = make_sound_progress(11.0)
    step(progress, settings, few, 11.0)
    assert progress.phase is RolloutPhase.TRIAL
    step(progress, settings, ENOUGH, 11.1)
    assert progress.phase is RolloutPhase.ALL
    for number in range(40):
        request = progress.record_sent(True, "a|s", f"True-{number % 3}", 12.0)
        progress.record_answer(request, False, 0.2)
    assert may_complete(progress, settings, ENOUGH, 18.5)
    assert not may_complete(progress, settings, few, 18.5)


def test_version_not_proven_in_time_is_rolled_back():
    progress = RolloutProgress(make_order())
    step(progress, RolloutSettings(), ENOUGH, 19.9)
    assert progress.phase is RolloutPhase.TRIAL
    step(progress, RolloutSettings(), ENOUGH, 20.0)
    assert progress.phase is RolloutPhase.STOPPED
    assert not progress.judged_bad


@pytest.mark.parametrize("fault", JUDGE_FAULTS, ids=lambda fault: fault.name)
def test_faulty_versions_do_not_take_over(fault):
    """Versions that are bad from the start, later, on one route, with one model, under
    load, or slow are stopped or left unproven. A sound version takes over.
    """
    ends = [play_rollout(fault, seed) for seed in range(RUNS)]
    endings = [end.ending for end in ends]
    if fault.name == "none":
        assert endings.count("completed") >= RUNS - 1
    elif fault.name not in FAINT:
        assert "completed" not in endings
        assert endings.count("stopped") >= RUNS - 1
