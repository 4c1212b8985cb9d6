"""The deterministic reducer: equal records yield equal states in every process."""

from typing import TypeVar

from attrs import evolve

from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.organisation import Organisation
from acaciacove.fleet.quarantine import Quarantine
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId
from acaciacove.state.exposure_record import ExposureRecord
from acaciacove.state.fold_result import FoldResult
from acaciacove.state.instance_decision import InstanceDecision
from acaciacove.state.quarantine_record import QuarantineRecord
from acaciacove.state.record import Record
from acaciacove.state.release_note import ReleaseNote
from acaciacove.state.session_bases import with_session_bases
from acaciacove.state.snapshot import Snapshot
from acaciacove.state.verdict import Verdict
from acaciacove.state.zone_decision import ZoneDecision

MAX_DECISION_IDS = 256

_T = TypeVar("_T")


def fold(state: FleetState, offset: int, record: Record | None) -> FoldResult:
    """Fold the record at ``offset``; None stands for a malformed one.

    The result depends only on the arguments. Every record advances the revision,
    whether it is accepted or not, so that readers at the same offset have the same
    state.
    """
    if offset <= state.revision:
        return FoldResult(state, Verdict.DUPLICATE)
    advanced = evolve(state, revision=offset)
    match record:
        case ReleaseNote():
            return _fold_note(advanced, record)
        case ZoneDecision() | InstanceDecision():
            return _fold_decision(advanced, record)
        case QuarantineRecord():
            return _fold_quarantine(advanced, record)
        case ExposureRecord():
            return _fold_exposure(advanced, record)
        case Snapshot():
            return _check_snapshot(state, advanced, record)
    return FoldResult(advanced, Verdict.MALFORMED)


def can_start_from(state: FleetState, offset: int, snapshot: Snapshot) -> bool:
    """Return whether a reader that lacks records may start from a snapshot.

    ``offset`` is that of the snapshot itself, which cannot cover later records.
    """
    return state.revision < snapshot.state.revision < offset


def _fold_note(state: FleetState, note: ReleaseNote) -> FoldResult:
    """Accept a note only if it is based on the release that is in force."""
    if note.note_id and note.note_id == state.release_note_id:
        return FoldResult(
            state, Verdict.DUPLICATE, "this release note is already in force"
        )
    if note.based_on != state.release_revision:
        detail = (
            f"based on revision {note.based_on}, "
            f"in force is revision {state.release_revision}"
        )
        return FoldResult(state, Verdict.STALE_BASE, detail)
    versions = {**state.versions, **{v.id: v for v in note.versions}}
    unknown = _unknown_names(state, note, versions)
    if unknown:
        return FoldResult(
            state, Verdict.UNKNOWN_NAME, f"unknown names: {', '.join(unknown)}"
        )
    for version in note.withdrawn:
        versions[version] = _as_withdrawn(versions[version])
    declared = {version.id for version in note.versions}
    accepted = evolve(
        state,
        release_revision=state.revision,
        release_note_id=note.note_id,
        apis={**state.apis, **{api.name: api for api in note.apis}},
        versions=versions,
        organisations=_organisations(state, note),
        quarantines=_without_versions(state.quarantines, declared),
        exposures=_without_versions(state.exposures, declared),
        declared_at={**state.declared_at, **dict.fromkeys(declared, state.revision)},
    )
    return FoldResult(with_session_bases(accepted), Verdict.ACCEPTED)


def _unknown_names(
    state: FleetState, note: ReleaseNote, versions: dict[VersionId, Version]
) -> list[str]:
    """List the undeclared versions and organisations that a note removes."""
    withdrawn = [str(v) for v in note.withdrawn if v not in versions]
    declared = {o.name for o in note.organisations}
    known = declared | state.organisations.keys()
    return withdrawn + [o for o in note.organisations_removed if o not in known]


def _fold_decision(
    state: FleetState, decision: ZoneDecision | InstanceDecision
) -> FoldResult:
    """Take a zone or an instance out of service or return it, once per decision id.

    The writer may append a decision twice if a reply was lost. Without the ids, the
    second copy would undo an opposite decision made in between.
    """
    if decision.decision_id in state.decision_ids:
        return FoldResult(state, Verdict.DUPLICATE)
    ids = state.decision_ids
    if decision.decision_id:
        ids = (*ids, decision.decision_id)[-MAX_DECISION_IDS:]
    state = evolve(state, decision_ids=ids)
    match decision:
        case ZoneDecision(availability_zone=zone, out=out):
            zones = _set_out(state.availability_zones_out, zone, out)
            return FoldResult(
                evolve(state, availability_zones_out=zones), Verdict.ACCEPTED
            )
        case InstanceDecision(instance=instance, out=out):
            instances = _set_out(state.instances_out, instance, out)
            return FoldResult(evolve(state, instances_out=instances), Verdict.ACCEPTED)


def _fold_quarantine(state: FleetState, record: QuarantineRecord) -> FoldResult:
    """Quarantine a version that has been declared."""
    if record.version not in state.versions:
        return FoldResult(
            state, Verdict.UNKNOWN_NAME, f"unknown version {record.version}"
        )
    if 0 <= record.based_on < state.declared_at.get(record.version, -1):
        return FoldResult(
            state,
            Verdict.STALE_BASE,
            "the version was declared again after this evidence",
        )
    if record.version in state.quarantines:
        return FoldResult(state, Verdict.DUPLICATE)
    quarantine = Quarantine(record.version, record.reason, state.revision)
    quarantines = {**state.quarantines, record.version: quarantine}
    quarantined_state = evolve(state, quarantines=quarantines)
    return FoldResult(with_session_bases(quarantined_state), Verdict.ACCEPTED)


def _fold_exposure(state: FleetState, record: ExposureRecord) -> FoldResult:
    """Raise a version's share; it never decreases, so sessions move at most once."""
    version = state.versions.get(record.version)
    if version is None:
        return FoldResult(
            state, Verdict.UNKNOWN_NAME, f"unknown version {record.version}"
        )
    if 0 <= record.based_on < state.declared_at.get(record.version, -1):
        return FoldResult(
            state,
            Verdict.STALE_BASE,
            "the version was declared again after this evidence",
        )
    if record.share <= state.exposures.get(version.id, version.first_share):
        return FoldResult(state, Verdict.DUPLICATE)
    exposures = {**state.exposures, version.id: min(1.0, record.share)}
    return FoldResult(evolve(state, exposures=exposures), Verdict.ACCEPTED)


def _check_snapshot(
    before: FleetState, advanced: FleetState, snapshot: Snapshot
) -> FoldResult:
    """Check a snapshot, without using it, in a reader that has every record."""
    covered = snapshot.state.revision
    if covered >= advanced.revision:
        return FoldResult(
            advanced,
            Verdict.CONTRADICTION,
            "the snapshot covers revisions after its own offset",
        )
    if covered == before.revision and snapshot.state != before:
        return FoldResult(
            advanced,
            Verdict.CONTRADICTION,
            "the snapshot differs from the folded records",
        )
    return FoldResult(advanced, Verdict.DUPLICATE)


def _as_withdrawn(version: Version) -> Version:
    return evolve(version, withdrawn=True)


def _organisations(state: FleetState, note: ReleaseNote) -> dict[str, Organisation]:
    """Merge the organisations of a note into those in force."""
    merged = {**state.organisations, **{o.name: o for o in note.organisations}}
    for name in note.organisations_removed:
        merged.pop(name, None)
    return merged


def _without_versions(
    by_version: dict[VersionId, _T], declared: set[VersionId]
) -> dict[VersionId, _T]:
    """Drop the values of versions that a note declares again."""
    return {v: value for v, value in by_version.items() if v not in declared}


def _set_out(names: frozenset[str], name: str, out: bool) -> frozenset[str]:
    return names | {name} if out else names - {name}
