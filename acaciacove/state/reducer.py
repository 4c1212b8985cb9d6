"""The one deterministic reducer: every reader folds the same records alike."""

from attrs import evolve

from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.organisation import Organisation
from acaciacove.fleet.quarantine import Quarantine
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId
from acaciacove.state.folded import Folded
from acaciacove.state.instance_decision import InstanceDecision
from acaciacove.state.quarantine_record import QuarantineRecord
from acaciacove.state.record import Record
from acaciacove.state.release_note import ReleaseNote
from acaciacove.state.snapshot import Snapshot
from acaciacove.state.verdict import Verdict
from acaciacove.state.zone_decision import ZoneDecision


def fold(state: FleetState, offset: int, record: Record | None) -> Folded:
    """Fold the record at ``offset``; None stands for one that cannot be read."""
    if offset <= state.revision:
        return Folded(state, Verdict.DUPLICATE)
    moved = evolve(state, revision=offset)
    match record:
        case ReleaseNote():
            return _fold_note(moved, record)
        case ZoneDecision():
            zones = _toggled(
                moved.availability_zones_out, record.availability_zone, record.out
            )
            moved = evolve(moved, availability_zones_out=zones)
            return Folded(moved, Verdict.ACCEPTED)
        case InstanceDecision():
            instances = _toggled(moved.instances_out, record.instance, record.out)
            return Folded(evolve(moved, instances_out=instances), Verdict.ACCEPTED)
        case QuarantineRecord():
            return _fold_quarantine(moved, record)
        case Snapshot():
            return Folded(moved, Verdict.DUPLICATE)
    return Folded(moved, Verdict.MALFORMED)


def _fold_note(state: FleetState, note: ReleaseNote) -> Folded:
    """Accept a note only on top of the release that it was written for."""
    if note.based_on != state.release_revision:
        detail = f"based on {note.based_on}, in force is {state.release_revision}"
        return Folded(state, Verdict.STALE_BASE, detail)
    versions = {**state.versions, **{v.id: v for v in note.versions}}
    unknown = [v for v in note.withdrawn if v not in versions]
    if unknown:
        return Folded(state, Verdict.UNKNOWN_NAME, f"withdraws unknown {unknown[0]}")
    for version in note.withdrawn:
        versions[version] = _withdrawn(versions[version])
    declared = {version.id for version in note.versions}
    accepted = evolve(
        state,
        release_revision=state.revision,
        apis={**state.apis, **{api.name: api for api in note.apis}},
        versions=versions,
        organisations=_organisations(state, note),
        quarantines=_without(state.quarantines, declared),
    )
    return Folded(accepted, Verdict.ACCEPTED)


def _fold_quarantine(state: FleetState, record: QuarantineRecord) -> Folded:
    """Stop a version that the release in force knows."""
    if record.version not in state.versions:
        return Folded(state, Verdict.UNKNOWN_NAME, f"unknown {record.version}")
    if record.version in state.quarantines:
        return Folded(state, Verdict.DUPLICATE)
    stopped = Quarantine(record.version, record.reason, state.revision)
    quarantines = {**state.quarantines, record.version: stopped}
    return Folded(evolve(state, quarantines=quarantines), Verdict.ACCEPTED)


def _withdrawn(version: Version) -> Version:
    return evolve(version, withdrawn=True)


def _organisations(state: FleetState, note: ReleaseNote) -> dict[str, Organisation]:
    """Merge the note's organisations into those in force."""
    merged = {**state.organisations, **{o.name: o for o in note.organisations}}
    for name in note.organisations_removed:
        merged.pop(name, None)
    return merged


def _without(
    quarantines: dict[VersionId, Quarantine], declared: set[VersionId]
) -> dict[VersionId, Quarantine]:
    """Lift the quarantine of versions that a note declares anew."""
    return {v: q for v, q in quarantines.items() if v not in declared}


def _toggled(names: frozenset[str], name: str, out: bool) -> frozenset[str]:
    return names | {name} if out else names - {name}
