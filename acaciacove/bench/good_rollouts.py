"""Many roll-outs of good versions, ratings only: how often a false alarm."""

from attrs import evolve
from numpy.random import default_rng

from acaciacove.bench.rollout_play import API, NEW, OLD
from acaciacove.bench.rollout_truth import OLD_MEAN, draw_score
from acaciacove.decisions.evidence_kind import EvidenceKind
from acaciacove.decisions.guard_action import GuardAction
from acaciacove.decisions.rollout_guard import RolloutGuard
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.version import Version

NEW_RATINGS = 1_500
LOOK_EVERY = 15
OLD_RATINGS = 400


def count_false_alarms(seed: int, rollouts: int) -> int:
    """Count the good versions that are stopped within ``NEW_RATINGS`` ratings."""
    return sum(_is_stopped([seed, n]) for n in range(rollouts))


def _is_stopped(seed: list[int]) -> bool:
    """Rate a good version to full share and beyond, judged again and again."""
    rng = default_rng(seed)
    guard = RolloutGuard("bench")
    new = Version(NEW, API.name, 1.0, replaces=OLD)
    old = Version(OLD, API.name, 1.0)
    fleet = FleetState(versions={OLD: old, NEW: new})
    for number in range(OLD_RATINGS):
        score = draw_score(OLD_MEAN, rng)
        guard.observe(fleet, OLD, EvidenceKind.RATING, score, number)
    for number in range(NEW_RATINGS):
        sequence = OLD_RATINGS + number
        score = draw_score(OLD_MEAN, rng)
        guard.observe(fleet, NEW, EvidenceKind.RATING, score, sequence)
        if number % LOOK_EVERY:
            continue
        verdict = guard.verdict(fleet, new)
        if verdict.action is GuardAction.QUARANTINE:
            return True
        if verdict.action is GuardAction.WIDEN:
            fleet = evolve(fleet, exposures={NEW: verdict.share})
    return False
