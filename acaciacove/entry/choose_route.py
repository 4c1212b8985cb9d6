"""Chooses version and endpoint for the next attempt and logs the decision."""

from acaciacove.daemon.decision_log import log_event
from acaciacove.decisions.decision import Decision
from acaciacove.decisions.endpoint_decision import EndpointDecision
from acaciacove.decisions.version_decision import VersionDecision
from acaciacove.entry.caller_request import CallerRequest
from acaciacove.entry.entry_state import EntryState
from acaciacove.entry.progress import Progress
from acaciacove.entry.retry_rule import as_refusal
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.version import Version
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal

RETRY_AFTER_S = 1.0


def choose_route(
    request: CallerRequest, progress: Progress, entry: EntryState
) -> tuple[Version, Instance] | Refusal:
    """Choose version and endpoint for the next attempt and log the reasons."""
    fleet = entry.fleet_store.state
    if progress.decision is None:
        decision = entry.router.choose_version(fleet, request)
        if isinstance(decision, Refusal):
            return _refuse(request, progress, entry, decision)
        progress.decision = decision
    version = progress.decision.ladder[progress.ladder_index]
    if not fleet.is_usable(version):
        # A release note or the roll-out guard stopped the version between two
        # attempts. Another attempt would start new work on a stopped version.
        refusal = Refusal(Reason.VERSION_WITHDRAWN, True, str(version))
        return _refuse(request, progress, entry, refusal)
    chosen = entry.router.choose_endpoint(fleet, request, version, progress)
    if isinstance(chosen, Refusal):
        return _refuse(request, progress, entry, chosen)
    _log_route(request, progress, entry, progress.decision, chosen)
    return fleet.versions[version], chosen.endpoint


def _refuse(
    request: CallerRequest, progress: Progress, entry: EntryState, refusal: Refusal
) -> Refusal:
    """Log and return a refusal; its "not run" covers all attempts.

    After failed attempts the caller gets the reason of the last one. It is more
    useful than the reason that no further endpoint can be chosen.
    """
    if progress.last_refused is not None:
        refusal = as_refusal(progress.last_refused, progress)
    overall = Refusal(
        refusal.reason,
        refusal.not_run and not progress.may_have_run,
        refusal.detail,
        refusal.retry_after_s or RETRY_AFTER_S,
    )
    entry.metrics.count_refusal(overall)
    log_event(
        "refuse",
        request_id=request.request_id,
        organisation=request.organisation.name,
        api=request.api.name,
        reason=overall.reason,
        not_run=overall.not_run,
        detail=overall.detail,
        revision=entry.fleet_store.state.revision,
    )
    return overall


def _log_route(
    request: CallerRequest,
    progress: Progress,
    entry: EntryState,
    version: VersionDecision,
    endpoint: EndpointDecision,
) -> None:
    """Log the chosen version and endpoint and why the others were rejected."""
    log_event(
        "route",
        request_id=request.request_id,
        organisation=request.organisation.name,
        api=request.api.name,
        request_class=request.request_class,
        attempt=progress.attempts + 1,
        version=str(progress.version),
        version_why=version.decision.why,
        versions_lost=_rejection_reasons(version.decision),
        endpoint=endpoint.endpoint.name,
        endpoint_why=endpoint.decision.why,
        endpoints_lost=_rejection_reasons(endpoint.decision),
        revision=entry.fleet_store.state.revision,
    )


def _rejection_reasons(decision: Decision) -> dict[str, str]:
    return {c.name: c.lost.value for c in decision.candidates if c.lost}
