"""Plans meet the target at the least cost, and trials harm nobody."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciacove.decisions.cascade import should_escalate
from acaciacove.decisions.cascade_plan import CascadePlan
from acaciacove.decisions.cascade_planner import plan_cascade
from acaciacove.decisions.choice_settings import ChoiceSettings
from acaciacove.decisions.exploration import list_trials
from acaciacove.decisions.plan_cache import PlanCache
from acaciacove.decisions.quality_estimates import QualityEstimates
from acaciacove.decisions.rated_class import RatedClass
from acaciacove.decisions.version_choice import choose_version
from acaciacove.fleet.api import Api
from acaciacove.fleet.api_kind import ApiKind
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.organisation import Organisation
from acaciacove.fleet.quarantine import Quarantine
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId

SMALL, LARGE = VersionId("guide-small", "1"), VersionId("guide-large", "1")
NEW = VersionId("guide-small", "2")
LADDER = (Version(SMALL, "guide", 1.0, 0.7), Version(LARGE, "guide", 10.0, 0.9))
CLASS = "interactive-short"
API = Api("guide", ApiKind.MODEL, 0.8)
EVERYTHING = Organisation(
    "ozark", allowed=dict.fromkeys(("guide-small", "guide-large"), ("*",))
)


def learned(small_by_bin, large, ratings=300):
    estimates = QualityEstimates("entry-1")
    for bin_, score in small_by_bin.items():
        for _ in range(ratings):
            estimates.record_answer(SMALL, CLASS, bin_)
            estimates.record_rating(SMALL, str(RatedClass(CLASS, "", bin_)), score)
            after = RatedClass(CLASS, str(SMALL), bin_)
            estimates.record_rating(LARGE, str(after), large)
            estimates.record_answer(LARGE, CLASS, 7)
            estimates.record_rating(LARGE, str(RatedClass(CLASS, "", 7)), large)
    return estimates


def test_poor_answers_of_the_cheap_version_escalate_and_good_ones_do_not():
    plan = plan_cascade(LADDER, learned({1: 0.3, 6: 0.95}, 0.92), CLASS, 0.9)
    assert (plan.start, plan.escalate_to) == (SMALL, LARGE)
    assert plan.lower >= 0.9 - 1e-9
    decided = plans_decision(plan)
    assert should_escalate(decided, 0.1, Random(1))
    assert not should_escalate(decided, 0.95, Random(1))


def plans_decision(plan):
    cache = PlanCache(QualityEstimates("e"), ChoiceSettings(max_tried_share=0.0))
    fleet = FleetState(apis={"guide": API}, versions={v.id: v for v in LADDER})
    decided = choose_version(fleet, EVERYTHING, API, CLASS, cache, Random(1))
    return type(decided)(plan.start, plan, (SMALL, LARGE), decided.decision)


def test_a_cheap_version_that_suffices_is_asked_alone():
    plan = plan_cascade(LADDER, learned({2: 0.85, 6: 0.95}, 0.92), CLASS, 0.8)
    assert plan.start == SMALL and plan.cost == pytest.approx(1.0)


def test_without_ratings_the_version_with_the_best_prior_starts():
    # Right after a start nothing is known. Asking the cheap version on the word of
    # its release note alone would give callers poor answers until ratings arrive.
    plan = plan_cascade(LADDER, QualityEstimates("entry-1"), CLASS, 0.85)
    assert plan.start == LARGE


@given(st.lists(st.floats(0, 1), min_size=8, max_size=8), st.floats(0.1, 0.99))
@settings(derandomize=True, deadline=None, max_examples=60)
def test_a_plan_meets_the_target_or_has_the_best_quality(scores, target):
    estimates = learned(dict(enumerate(scores)), 0.9, ratings=12)
    plan = plan_cascade(LADDER, estimates, CLASS, target)
    best = plan_cascade(LADDER, estimates, CLASS, 2.0)
    assert plan.lower >= target - 1e-9 or plan.quality >= best.quality - 1e-9


def test_a_trial_of_a_cheaper_version_is_never_delivered():
    # Learning about a cheap version needs its answers. If callers got them before
    # they are known to be good, learning would cost them quality.
    settings_ = ChoiceSettings()
    plan = CascadePlan(LARGE, cost=10.0)
    trials = list_trials(LADDER, plan, CLASS, QualityEstimates("e"), settings_)
    assert [t.ladder for t in trials] == [(SMALL, LARGE)]
    assert all(t.always_escalates for t in trials)
    assert sum(t.probability for t in trials) <= settings_.max_tried_share


def rollout_fleet(**changes):
    versions = {
        v.id: v for v in (*LADDER, Version(NEW, "guide", 1.0, 0.7, replaces=SMALL))
    }
    return FleetState(apis={"guide": API}, versions=versions, **changes)


def exposed(fleet, share, sessions):
    cache = PlanCache(learned({6: 0.95}, 0.95), ChoiceSettings(max_tried_share=0.0))
    return {
        s
        for s in sessions
        if choose_version(
            fleet,
            EVERYTHING,
            API,
            CLASS,
            cache,
            Random(1),
            session=s,
            shares={NEW: share},
        ).version
        == NEW
    }


def test_a_growing_share_moves_a_session_once_at_most():
    # A chat without a pin asks different entries. If each drew anew, or a larger
    # share drew other sessions, the chat would change its version in mid-talk.
    sessions = [f"chat-{n}" for n in range(400)]
    small, large = (exposed(rollout_fleet(), share, sessions) for share in (0.1, 0.4))
    assert 0 < len(small) < len(large) < 250
    assert small <= large


def test_a_quarantined_version_is_not_exposed_at_any_share():
    stopped = {NEW: Quarantine(NEW, "rating", 3)}
    fleet = rollout_fleet(quarantines=stopped)
    assert not exposed(fleet, 1.0, [f"chat-{n}" for n in range(50)])
