"""The guard stops bad versions, lets good ones through, and survives restarts."""

from random import Random

from attrs import evolve

from acaciacove.decisions.evidence_kind import EvidenceKind
from acaciacove.decisions.guard_action import GuardAction
from acaciacove.decisions.rollout_guard import RolloutGuard
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId

OLD, NEW = VersionId("guide", "1"), VersionId("guide", "2")
OLD_VERSION = Version(OLD, "guide", 1.0)
NEW_VERSION = Version(NEW, "guide", 1.0, replaces=OLD)
FLEET = FleetState(versions={OLD: OLD_VERSION, NEW: NEW_VERSION})


def rate(guard, version, mean, count, rng, fleet=FLEET, first=0):
    for number in range(count):
        score = min(1.0, max(0.0, rng.gauss(mean, 0.18)))
        guard.observe(fleet, version, EvidenceKind.RATING, score, first + number)


def test_version_with_worse_ratings_is_quarantined():
    # A new version is released and its answers are rated a third worse. Callers who
    # draw it notice at once, the others only when its share grows.
    guard, rng = RolloutGuard("entry-1"), Random(1)
    rate(guard, OLD, 0.8, 200, rng)
    rate(guard, NEW, 0.56, 60, rng)
    verdict = guard.verdict(FLEET, NEW_VERSION)
    assert verdict.action is GuardAction.QUARANTINE
    assert "rating" in verdict.reason


def test_version_with_more_failures_is_quarantined_without_ratings():
    # The rating service is away while a version that fails one call in three rolls
    # out. Waiting for ratings would leave it in service.
    guard = RolloutGuard("entry-1")
    for number in range(300):
        guard.observe(FLEET, OLD, EvidenceKind.SUCCESS, float(number % 50 != 0))
    for number in range(60):
        guard.observe(FLEET, NEW, EvidenceKind.SUCCESS, float(number % 3 != 0))
    assert guard.verdict(FLEET, NEW_VERSION).action is GuardAction.QUARANTINE


def test_a_good_version_earns_a_larger_share():
    guard, rng = RolloutGuard("entry-1"), Random(2)
    rate(guard, OLD, 0.8, 200, rng)
    rate(guard, NEW, 0.8, 200, rng)
    verdict = guard.verdict(FLEET, NEW_VERSION)
    assert verdict.action is GuardAction.WIDEN
    assert verdict.share == 1.0


def test_share_is_unchanged_without_evidence():
    verdict = RolloutGuard("entry-1").verdict(FLEET, NEW_VERSION)
    assert verdict.action is GuardAction.KEEP
    assert verdict.share == NEW_VERSION.first_share


def test_version_that_degrades_at_full_share_is_quarantined():
    # Days after its roll-out a version turns bad. The replaced one gets no traffic
    # to compare with, so it is compared with its own early ratings.
    guard, rng = RolloutGuard("entry-1"), Random(3)
    fleet = evolve(FLEET, exposures={NEW: 1.0})
    rate(guard, NEW, 0.8, 2500, rng, fleet)
    assert guard.verdict(fleet, NEW_VERSION).action is GuardAction.KEEP
    rate(guard, NEW, 0.56, 400, rng, fleet, first=2500)
    assert guard.verdict(fleet, NEW_VERSION).action is GuardAction.QUARANTINE


def test_merged_counts_give_the_same_verdict():
    # The entry that judged a roll-out is replaced half way. Another one takes the
    # pooled counts over; were they lost, the bad version would serve on.
    first, second, rng = RolloutGuard("entry-1"), RolloutGuard("entry-2"), Random(4)
    rate(first, OLD, 0.8, 200, rng)
    rate(first, NEW, 0.56, 60, rng)
    for _ in range(4):
        second.merge(first.export_delta())
    assert second.verdict(FLEET, NEW_VERSION) == first.verdict(FLEET, NEW_VERSION)


def test_new_declaration_discards_old_evidence():
    # An operator fixes a bad version and declares it anew under its old name. The
    # old evidence must not stop the fixed one.
    guard, rng = RolloutGuard("entry-1"), Random(5)
    rate(guard, OLD, 0.8, 200, rng)
    rate(guard, NEW, 0.56, 60, rng)
    anew = evolve(FLEET, declared_at={NEW: 9})
    assert guard.verdict(anew, NEW_VERSION).action is GuardAction.KEEP
