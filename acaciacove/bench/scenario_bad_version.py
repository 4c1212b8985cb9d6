"""Exposure to versions that are bad from the start, later, or slowly."""

from math import isfinite

from attrs import evolve

from acaciacove.bench.good_rollouts import count_false_alarms
from acaciacove.bench.policy_runs import OURS, run_policies
from acaciacove.bench.rollout_play import RolloutPlay, RolloutResult, RolloutSettings
from acaciacove.bench.rollout_truth import Truth, bad, declines, good, turns_bad
from acaciacove.bench.scenario_report import Figures, ScenarioReport
from acaciacove.bench.scenario_settings import ScenarioSettings

GOOD_ROLLOUTS = 20
FAILING = 0.2
FULL_BY_S = 4000.0
DECLINE_S = 900.0
LONG_S = 5000.0


def run_bad_version(settings: ScenarioSettings) -> ScenarioReport:
    """Compare the guard with a fixed canary share."""
    shape = RolloutSettings(settings.seed)
    if settings.rated_share is not None:
        shape = evolve(shape, rated_share=settings.rated_share)
    shape = evolve(
        shape,
        entries=settings.entries or shape.entries,
        rate_per_s=settings.rate_per_s or shape.rate_per_s,
        rating_delay_s=settings.rating_delay_s or shape.rating_delay_s,
    )
    unguarded = evolve(shape, guarded=False)
    figures = run_policies(
        settings,
        {
            OURS: lambda: _ours(shape),
            "fixed_canary": lambda: _exposed(unguarded),
        },
    )
    ours = figures.pop(OURS, {})
    aims = {
        "exposed_share_bad": (0.01, True),
        "exposed_share_failing": (0.01, True),
        "stopped_after_evidence_s": (3.0, True),
        "false_alarm_share": (0.01, True),
        "good_reaches_full": (1.0, False),
        "late_turn_caught": (1.0, False),
        "decline_caught": (1.0, False),
    }
    return ScenarioReport("bad_version", settings.seed, ours, figures, aims)


def _ours(shape: RolloutSettings) -> Figures:
    found_bad = _play(shape, bad)
    failing = _play(evolve(shape, new_failures=FAILING), good)
    long = evolve(shape, duration_s=LONG_S)
    late = _play(long, turns_bad(FULL_BY_S))
    slow = _play(evolve(long, seed=shape.seed + 1), declines(FULL_BY_S, DECLINE_S))
    alarms = count_false_alarms(shape.seed, GOOD_ROLLOUTS)
    alarms += sum(play.decided_at_s < FULL_BY_S for play in (late, slow))
    return {
        "exposed_share_bad": found_bad.exposed / found_bad.requests,
        "exposed_requests_bad": float(found_bad.exposed),
        "exposed_share_failing": failing.exposed / failing.requests,
        "stopped_after_evidence_s": found_bad.stopped_everywhere_at_s
        - found_bad.decided_at_s,
        "false_alarm_share": alarms / (GOOD_ROLLOUTS + 2),
        "good_reaches_full": float(late.full_at_s < FULL_BY_S),
        "good_full_after_s": late.full_at_s - shape.released_at_s,
        "late_turn_caught": float(isfinite(late.decided_at_s)),
        "late_turn_caught_after_s": late.stopped_everywhere_at_s - FULL_BY_S,
        "decline_caught": float(isfinite(slow.decided_at_s)),
        "decline_lost_when_caught": 0.3
        * (slow.stopped_everywhere_at_s - FULL_BY_S)
        / DECLINE_S,
    }


def _exposed(shape: RolloutSettings) -> Figures:
    found = _play(shape, bad)
    return {
        "exposed_share_bad": found.exposed / found.requests,
        "exposed_requests_bad": float(found.exposed),
    }


def _play(shape: RolloutSettings, truth: Truth) -> RolloutResult:
    return RolloutPlay(shape, truth).run()
