"""Chooses the version that answers a request."""

from collections.abc import Collection, Mapping
from hashlib import blake2b
from random import Random

from acaciacove.decisions.candidate import Candidate
from acaciacove.decisions.cascade_plan import CascadePlan
from acaciacove.decisions.decision import Decision
from acaciacove.decisions.decision_kind import DecisionKind
from acaciacove.decisions.exploration import draw_trial
from acaciacove.decisions.plan_cache import PlanCache
from acaciacove.decisions.rejection_reason import RejectionReason
from acaciacove.decisions.trial import Trial
from acaciacove.decisions.version_decision import VersionDecision
from acaciacove.fleet.api import Api
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.organisation import Organisation
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal

FULL_SHARE = 1.0
_HASH_RANGE = 2.0**64
_REFUSALS = (
    (RejectionReason.NOT_SERVED, Reason.NO_ENDPOINT),
    (RejectionReason.QUARANTINED, Reason.VERSION_QUARANTINED),
    (RejectionReason.WITHDRAWN, Reason.VERSION_WITHDRAWN),
    (RejectionReason.NOT_ALLOWED, Reason.NOT_ALLOWED),
)


def choose_version(
    fleet: FleetState,
    organisation: Organisation,
    api: Api,
    request_class: str,
    plans: PlanCache,
    rng: Random,
    *,
    pinned: VersionId | None = None,
    session: str = "",
    shares: Mapping[VersionId, float] | None = None,
    serving: Collection[VersionId] | None = None,
) -> VersionDecision | Refusal:
    """Choose the cheapest allowed plan that meets the API's quality target.

    ``shares`` is the exposure of versions under roll-out (1 if absent). ``serving``
    holds the versions that some endpoint serves (all if None). A pinned session keeps
    its version while that is allowed and usable, and its answers do not escalate. For a
    session without a pin, a hash of its name decides on its exposure. All entries thus
    decide alike, and a growing share moves each session at most once.
    """
    rejected = _rejected_versions(fleet, organisation, api, serving)
    versions = [v for v in fleet.versions_of(api.name) if v.id not in rejected]
    if not versions:
        return _refusal(rejected, api)
    if pinned is not None and any(v.id == pinned for v in versions):
        return _pinned_decision(pinned, versions, rejected)
    draw = _session_draw(session, api) if session else rng.random()
    exposed, substitutes = _apply_exposure(versions, shares or {}, draw, rejected)
    ladder = tuple(sorted(exposed, key=lambda v: (v.cost_per_1k_tokens, v.id)))
    cached = plans.plan(ladder, request_class, api.quality_target, not session)
    trial = draw_trial(cached.trials, rng)
    return _unpinned_decision(ladder, cached.plan, trial, substitutes, rejected)


def _rejected_versions(
    fleet: FleetState,
    organisation: Organisation,
    api: Api,
    serving: Collection[VersionId] | None,
) -> dict[VersionId, RejectionReason]:
    """Return the versions of an API that cannot be used, with the reasons."""
    rejected: dict[VersionId, RejectionReason] = {}
    for version in fleet.versions_of(api.name):
        if not organisation.allows(version.id):
            rejected[version.id] = RejectionReason.NOT_ALLOWED
        elif version.withdrawn:
            rejected[version.id] = RejectionReason.WITHDRAWN
        elif version.id in fleet.quarantines:
            rejected[version.id] = RejectionReason.QUARANTINED
        elif serving is not None and version.id not in serving:
            rejected[version.id] = RejectionReason.NOT_SERVED
    return rejected


def _refusal(rejected: dict[VersionId, RejectionReason], api: Api) -> Refusal:
    """Return a refusal for the reason that is closest to being served.

    ``_REFUSALS`` lists the reasons in this order.
    """
    reasons = set(rejected.values())
    for why, reason in _REFUSALS:
        if why in reasons:
            return Refusal(reason, not_run=True, detail=f"no version of {api.name}")
    return Refusal(Reason.UNKNOWN_API, not_run=True, detail=f"unknown {api.name}")


def _session_draw(session: str, api: Api) -> float:
    digest = blake2b(f"{api.name}/{session}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / _HASH_RANGE


def _apply_exposure(
    versions: list[Version],
    shares: Mapping[VersionId, float],
    draw: float,
    rejected: dict[VersionId, RejectionReason],
) -> tuple[list[Version], dict[VersionId, VersionId]]:
    """Select either a version under roll-out or the one that it replaces.

    Returns the versions to plan with, and the substitutes by replaced version. A
    version under roll-out below full share substitutes the replaced one in the plan
    of that one. A plan from its own few ratings would choose it never or always.
    """
    remaining = {v.id: v for v in versions}
    substitutes: dict[VersionId, VersionId] = {}
    for version in versions:
        replaced = version.replaces
        if replaced is None or replaced not in remaining:
            continue
        share = shares.get(version.id, FULL_SHARE)
        if share >= FULL_SHARE:
            rejected[replaced] = RejectionReason.REPLACED
            del remaining[replaced]
            continue
        del remaining[version.id]
        if draw < share:
            substitutes[replaced] = version.id
        else:
            rejected[version.id] = RejectionReason.NOT_EXPOSED
    return list(remaining.values()), substitutes


def _pinned_decision(
    pinned: VersionId,
    versions: list[Version],
    rejected: dict[VersionId, RejectionReason],
) -> VersionDecision:
    for version in versions:
        if version.id != pinned:
            rejected[version.id] = RejectionReason.PINNED_ELSEWHERE
    plan = CascadePlan(pinned)
    decision = _decision(pinned, versions, rejected, "pinned")
    return VersionDecision(pinned, plan, (pinned,), decision, pinned=True)


def _unpinned_decision(
    ladder: tuple[Version, ...],
    plan: CascadePlan,
    trial: Trial | None,
    substitutes: dict[VersionId, VersionId],
    rejected: dict[VersionId, RejectionReason],
) -> VersionDecision:
    chosen_ladder = trial.ladder if trial else _plan_ladder(plan)
    is_after_start = False
    for version in ladder:
        if version.id == chosen_ladder[0]:
            is_after_start = True
        else:
            rejected[version.id] = (
                RejectionReason.DEARER
                if is_after_start
                else RejectionReason.BELOW_TARGET
            )
    for replaced in substitutes.keys() & set(chosen_ladder):
        rejected[replaced] = RejectionReason.REPLACED
    chosen_ladder = tuple(
        substitutes.get(version, version) for version in chosen_ladder
    )
    decision = _decision(
        chosen_ladder[0], ladder, rejected, "trial" if trial else "cheapest"
    )
    always_escalates = trial is not None and trial.always_escalates
    return VersionDecision(
        chosen_ladder[0], plan, chosen_ladder, decision, always_escalates
    )


def _plan_ladder(plan: CascadePlan) -> tuple[VersionId, ...]:
    return (plan.start,) if plan.escalate_to is None else (plan.start, plan.escalate_to)


def _decision(
    chosen: VersionId,
    versions: Collection[Version],
    rejected: dict[VersionId, RejectionReason],
    why: str,
) -> Decision:
    costs = {v.id: v.cost_per_1k_tokens for v in versions}
    candidates = [Candidate(str(chosen), None, costs.get(chosen, 0.0))]
    candidates += [
        Candidate(str(version), reason, costs.get(version, 0.0))
        for version, reason in rejected.items()
    ]
    return Decision(DecisionKind.VERSION, str(chosen), tuple(candidates), why)
