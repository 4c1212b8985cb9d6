"""The judge of a new version, without a network."""

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

PLAYS = 6
ENOUGH = VersionCapacity(target=5, old=5)
NINE_KINDS = [f"{route}|{model}" for route in "abc" for model in ("s", "m", "l")]
# Faults that strike too few requests to be told from chance in one roll-out.
FAINT = ("none, one request in ten fails everywhere", "fails one in twenty")


def evidence(target, old):
    return Evidence(target, old, {}, 1)


def test_answers_without_time_comparison_prove_nothing():
    """A version takes eight times as long as the old one. Twenty answers, spread over
    nine kinds of request, hold no failure and too few times of one kind to compare
    one by one. Taken for sound, it went to every caller, and their answers came late.
    """
    old = {
        kind: CellCounts(answers=24, timed=24, judged=24, late=2) for kind in NINE_KINDS
    }
    unseen = {kind: CellCounts(answers=3, timed=3) for kind in NINE_KINDS}
    slow = {kind: CellCounts(answers=2, judged=3, late=2) for kind in NINE_KINDS}
    assert judge(evidence(unseen, old)) is Verdict.UNKNOWN
    assert judge(evidence(slow, old)) is Verdict.BAD


def test_route_without_trial_requests_is_not_proven():
    """A version fails on one route only, and none of the requests of its trial came on
    that route. The others' answers prove nothing for it.
    """
    old = {f"{route}|s": CellCounts(100, 0, 100, 0.0, 100, 5) for route in "ab"}
    tried = {"a|s": CellCounts(60, 0, 60, 0.0, 60, 3)}
    assert judge(evidence(tried, old)) is Verdict.UNKNOWN
    both = tried | {"b|s": CellCounts(15, 0, 15, 0.0, 15, 1)}
    assert judge(evidence(both, old)) is Verdict.GOOD


def test_one_slow_endpoint_does_not_fail_the_version():
    """One of four new endpoints stands on a machine that is slow for its own reasons.
    Its late answers alone must not take the version back.
    """
    old = {"a|s": CellCounts(200, 0, 200, 0.0, 200, 10)}
    target = {"a|s": CellCounts(60, 0, 60, 0.0, 60, 18)}
    machines = {
        f"new-{n}": CellCounts(15, 0, 0, 0.0, 15, 15 if n == 0 else 1) for n in range(4)
    }
    assert judge(Evidence(target, old, {}, 1)) is Verdict.BAD
    assert judge(Evidence(target, old, machines, 4)) is not Verdict.BAD


def test_one_failing_endpoint_does_not_fail_the_version():
    """The first two answers of a new version come from one machine of five, and both
    are failures. Taken for the version's, they took it back after two requests.
    """
    old = {"a|s": CellCounts(200, 0, 200, 0.0, 200, 10)}
    target = {"a|s": CellCounts(answers=4, failures=4)}
    one = {"new-0": CellCounts(answers=4, failures=4)}
    two = {f"new-{n}": CellCounts(answers=2, failures=2) for n in range(2)}
    assert judge(Evidence(target, old, one, 5)) is Verdict.UNKNOWN
    assert judge(Evidence(target, old, two, 5)) is Verdict.BAD
    assert judge(Evidence(target, old, one, 1)) is Verdict.BAD


def order(duration_s=20.0):
    return RolloutOrder("model", "v2", duration_s, 1, 0.0)


def test_abandoned_requests_of_a_slow_version_count_as_late():
    """Callers of a stalled version leave before anything is answered. If only answers
    counted, nothing would ever be known of it.
    """
    progress = RolloutProgress(order())
    for number in range(20):
        asked = progress.record_sent(False, "a|s", f"old-{number % 3}", 0.0)
        progress.record_answer(asked, False, 0.2)
    progress.record_late_requests(1.0)
    asked = [progress.record_sent(True, "a|s", f"new-{n % 3}", 1.0) for n in range(12)]
    for number in asked[:6]:
        progress.abandon(number, 2.0)
    progress.record_late_requests(2.0)
    counts = progress.cells(True)["a|s"]
    assert (counts.answers, counts.judged, counts.late) == (0, 12, 12)
    step(progress, RolloutSettings(), ENOUGH, 2.1)
    assert progress.phase is RolloutPhase.STOPPED
    assert progress.judged_bad
    for number in asked[6:]:
        progress.record_answer(number, False, 3.0)
    assert progress.cells(True)["a|s"].late == 12


def sound_progress(now_s):
    """A roll-out with all the proof that is asked for."""
    progress = RolloutProgress(order())
    for is_target, times in ((False, 60), (True, 40)):
        for number in range(times):
            endpoint = f"{is_target}-{number % 3}"
            asked = progress.record_sent(is_target, "a|s", endpoint, now_s)
            progress.record_answer(asked, False, 0.2)
        progress.record_late_requests(now_s)
    for number in range(40):
        asked = progress.record_sent(True, "a|s", f"True-{number % 3}", now_s)
        progress.record_answer(asked, False, 0.2)
    return progress


def test_version_without_enough_endpoints_does_not_take_over():
    """Two of five new endpoints are left when the roll-out comes to its end. Completed,
    the old five would be stopped, and two would stand before the whole load.
    """
    settings = RolloutSettings()
    few = VersionCapacity(target=2, old=5)
    progress = sound_progress(11.0)
    step(progress, settings, few, 11.0)
    assert progress.phase is RolloutPhase.TRIAL
    step(progress, settings, ENOUGH, 11.1)
    assert progress.phase is RolloutPhase.ALL
    for number in range(40):
        asked = progress.record_sent(True, "a|s", f"True-{number % 3}", 12.0)
        progress.record_answer(asked, False, 0.2)
    assert may_complete(progress, settings, ENOUGH, 18.5)
    assert not may_complete(progress, settings, few, 18.5)


def test_version_not_proven_in_time_is_rolled_back():
    progress = RolloutProgress(order())
    step(progress, RolloutSettings(), ENOUGH, 19.9)
    assert progress.phase is RolloutPhase.TRIAL
    step(progress, RolloutSettings(), ENOUGH, 20.0)
    assert progress.phase is RolloutPhase.STOPPED
    assert not progress.judged_bad


@pytest.mark.parametrize("fault", JUDGE_FAULTS, ids=lambda fault: fault.name)
def test_faulty_versions_do_not_take_over(fault):
    """Bad from the start, late, on one route, with one model, under load, or slow: each
    is stopped or left unproven, and a sound version takes over.
    """
    ends = [play_rollout(fault, seed) for seed in range(PLAYS)]
    endings = [end.ending for end in ends]
    if fault.name == "none":
        assert endings.count("completed") >= PLAYS - 1
    elif fault.name not in FAINT:
        assert "completed" not in endings
        assert endings.count("stopped") >= PLAYS - 1
