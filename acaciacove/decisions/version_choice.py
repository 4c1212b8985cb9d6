"""Which version answers a request."""

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

    ``shares`` is the exposure of versions under roll-out (1 when absent),
    ``serving`` the versions that some endpoint serves (all when None). A pinned
    session keeps its version while that is allowed and usable, and its answers do
    not escalate. A session without a pin is exposed by a hash of its name, so that
    every entry draws alike and a growing share moves each session once at most.
    """
    lost = _lost_versions(fleet, organisation, api, serving)
    versions = [v for v in fleet.versions_of(api.name) if v.id not in lost]
    if not versions:
        return _refusal(lost, api)
    if pinned is not None and any(v.id == pinned for v in versions):
        return _pinned_decision(pinned, versions, lost)
    draw = _session_draw(session, api) if session else rng.random()
    exposed, substitutes = _apply_exposure(versions, shares or {}, draw, lost)
    ladder = tuple(sorted(exposed, key=lambda v: (v.cost_per_1k_tokens, v.id)))
    in_use = plans.plan(ladder, request_class, api.quality_target, not session)
    trial = draw_trial(in_use.trials, rng)
    return _unpinned_decision(ladder, in_use.plan, trial, substitutes, lost)


def _lost_versions(
    fleet: FleetState,
    organisation: Organisation,
    api: Api,
    serving: Collection[VersionId] | None,
) -> dict[VersionId, RejectionReason]:
    """Name the versions of an API that may not or cannot be used, and why."""
    lost: dict[VersionId, RejectionReason] = {}
    for version in fleet.versions_of(api.name):
        if not organisation.allows(version.id):
            lost[version.id] = RejectionReason.NOT_ALLOWED
        elif version.withdrawn:
            lost[version.id] = RejectionReason.WITHDRAWN
        elif version.id in fleet.quarantines:
            lost[version.id] = RejectionReason.QUARANTINED
        elif serving is not None and version.id not in serving:
            lost[version.id] = RejectionReason.NOT_SERVED
    return lost


def _refusal(lost: dict[VersionId, RejectionReason], api: Api) -> Refusal:
    """Refuse for the reason that lies nearest to service."""
    reasons = set(lost.values())
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
    lost: dict[VersionId, RejectionReason],
) -> tuple[list[Version], dict[VersionId, VersionId]]:
    """Let either a version under roll-out or the one it replaces stand.

    A version under roll-out takes the place of the replaced one in that one's plan.
    With a plan from its own few ratings it would never be chosen, or always.
    """
    remaining = {v.id: v for v in versions}
    substitutes: dict[VersionId, VersionId] = {}
    for version in versions:
        replaced = version.replaces
        if replaced is None or replaced not in remaining:
            continue
        share = shares.get(version.id, FULL_SHARE)
        if share >= FULL_SHARE:
            lost[replaced] = RejectionReason.REPLACED
            del remaining[replaced]
            continue
        del remaining[version.id]
        if draw < share:
            substitutes[replaced] = version.id
        else:
            lost[version.id] = RejectionReason.NOT_EXPOSED
    return list(remaining.values()), substitutes


def _pinned_decision(
    pinned: VersionId, versions: list[Version], lost: dict[VersionId, RejectionReason]
) -> VersionDecision:
    for version in versions:
        if version.id != pinned:
            lost[version.id] = RejectionReason.PINNED_ELSEWHERE
    plan = CascadePlan(pinned)
    decision = _decision(pinned, versions, lost, "pinned")
    return VersionDecision(pinned, plan, (pinned,), decision, pinned=True)


def _unpinned_decision(
    ladder: tuple[Version, ...],
    plan: CascadePlan,
    trial: Trial | None,
    substitutes: dict[VersionId, VersionId],
    lost: dict[VersionId, RejectionReason],
) -> VersionDecision:
    steps = trial.ladder if trial else _plan_ladder(plan)
    is_dearer = False
    for version in ladder:
        if version.id == steps[0]:
            is_dearer = True
        else:
            lost[version.id] = (
                RejectionReason.DEARER if is_dearer else RejectionReason.BELOW_TARGET
            )
    for replaced in substitutes.keys() & set(steps):
        lost[replaced] = RejectionReason.REPLACED
    steps = tuple(substitutes.get(version, version) for version in steps)
    decision = _decision(steps[0], ladder, lost, "trial" if trial else "cheapest")
    always_escalates = trial is not None and trial.always_escalates
    return VersionDecision(steps[0], plan, steps, decision, always_escalates)


def _plan_ladder(plan: CascadePlan) -> tuple[VersionId, ...]:
    return (plan.start,) if plan.escalate_to is None else (plan.start, plan.escalate_to)


def _decision(
    chosen: VersionId,
    versions: Collection[Version],
    lost: dict[VersionId, RejectionReason],
    why: str,
) -> Decision:
    costs = {v.id: v.cost_per_1k_tokens for v in versions}
    candidates = [Candidate(str(chosen), None, costs.get(chosen, 0.0))]
    candidates += [
        Candidate(str(version), reason, costs.get(version, 0.0))
        for version, reason in lost.items()
    ]
    return Decision(DecisionKind.VERSION, str(chosen), tuple(candidates), why)
