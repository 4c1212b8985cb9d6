"""Checks each attempt a last time before it is sent to the endpoint.

The entry has made the same checks on its view, which may be stale. An attempt that
is refused here has not reached the endpoint, so "not run" is true of every refusal.
"""

from collections.abc import Callable

from attrs import frozen

from acaciacove.fleet.fleet_state import NO_REVISION, FleetState
from acaciacove.fleet.version_id import VersionId, parse_version_id
from acaciacove.messages.run import Run
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal

RETRY_AFTER_S = 1.0


@frozen
class GateView:
    """Input of the checks: the current fleet state and the state of this endpoint.

    ``current`` is false from the end of a pause of this process until the fleet state
    has been confirmed as up to date.
    """

    fleet: FleetState
    instance: str
    availability_zone: str
    served: frozenset[VersionId]
    takes_work: bool
    current: bool = True


Check = Callable[[Run, GateView], Refusal | None]


def refuse_run(run: Run, view: GateView) -> Refusal | None:
    """Return the first refusal of the checks, or None if the attempt may run."""
    for check in _CHECKS:
        refusal = check(run, view)
        if refusal is not None:
            return refusal
    return None


def _check_process(run: Run, view: GateView) -> Refusal | None:
    if view.fleet.revision == NO_REVISION:
        return Refusal(
            Reason.NOT_READY, True, "no release note is known", RETRY_AFTER_S
        )
    if not view.takes_work:
        return Refusal(Reason.LEAVING, True, f"{view.instance} is leaving")
    return None


def _check_revision(run: Run, view: GateView) -> Refusal | None:
    """Refuse while this sidecar's revision is older than the entry's.

    The entry may have read a withdrawal that this sidecar has not. Without the
    check, a sidecar that was paused would serve a version that operators stopped.
    """
    if not view.current:
        detail = f"{view.instance} was paused and is catching up"
        return Refusal(Reason.STALE_REVISION, True, detail, RETRY_AFTER_S)
    if run.revision > view.fleet.revision:
        detail = f"{view.instance} is still reading revision {run.revision}"
        return Refusal(Reason.STALE_REVISION, True, detail, RETRY_AFTER_S)
    return None


def _check_decisions(run: Run, view: GateView) -> Refusal | None:
    if view.availability_zone in view.fleet.availability_zones_out:
        return Refusal(Reason.AVAILABILITY_ZONE_OUT, True, view.availability_zone)
    if view.instance in view.fleet.instances_out:
        return Refusal(Reason.INSTANCE_OUT, True, view.instance)
    return None


def _check_version(run: Run, view: GateView) -> Refusal | None:
    version = parse_version_id(run.version)
    version_spec = view.fleet.versions.get(version) if version else None
    if version_spec is None or version_spec.api != run.api:
        return Refusal(Reason.UNKNOWN_API, True, f"{run.version} of {run.api}")
    if version_spec.withdrawn:
        return Refusal(Reason.VERSION_WITHDRAWN, True, run.version)
    if version_spec.id in view.fleet.quarantines:
        return Refusal(Reason.VERSION_QUARANTINED, True, run.version)
    if version_spec.id not in view.served:
        detail = f"{view.instance} does not serve {run.version}"
        return Refusal(Reason.NO_ENDPOINT, True, detail)
    return None


def _check_organisation(run: Run, view: GateView) -> Refusal | None:
    organisation = view.fleet.organisations.get(run.organisation)
    if organisation is None:
        return Refusal(Reason.UNKNOWN_ORGANISATION, True, run.organisation)
    version = parse_version_id(run.version)
    if version is None or not organisation.allows(version):
        return Refusal(Reason.NOT_ALLOWED, True, f"{run.organisation}: {run.version}")
    return None


def _check_deadline(run: Run, view: GateView) -> Refusal | None:
    if run.deadline_s <= 0:
        return Refusal(Reason.DEADLINE_EXCEEDED, True, "no time is left")
    return None


def _check_key(run: Run, view: GateView) -> Refusal | None:
    api = view.fleet.apis.get(run.api)
    if api is None:
        return Refusal(Reason.UNKNOWN_API, True, run.api)
    if not api.may_repeat(run.method, run.path) and not run.idempotency_key:
        return Refusal(Reason.KEY_REQUIRED, True, "send an Idempotency-Key")
    return None


_CHECKS: tuple[Check, ...] = (
    _check_process,
    _check_revision,
    _check_decisions,
    _check_version,
    _check_organisation,
    _check_deadline,
    _check_key,
)
