"""Compares a release note with the state in force."""

from collections.abc import Iterable
from typing import Any

from attrs import asdict, field, fields, frozen

from acaciacove.fleet.fleet_state import FleetState
from acaciacove.release_format.note_document import NoteDocument
from acaciacove.release_format.write_note import plain_value


@frozen
class StateDifference:
    """Names that a note adds and withdraws, and the fields that it changes.

    ``changed`` maps a name to ``field: (before, after)``. Names include their
    kind, such as ``version guide-small@1``. ``lifted`` lists quarantines that the
    note ends by declaring the version again.
    """

    release_revision: int
    added: list[str] = field(factory=list)
    changed: dict[str, dict[str, tuple[Any, Any]]] = field(factory=dict)
    unchanged: list[str] = field(factory=list)
    withdrawn: list[str] = field(factory=list)
    lifted: list[str] = field(factory=list)

    def as_json(self) -> dict[str, Any]:
        """Return a dictionary that can be serialised as JSON."""
        return asdict(self)


def difference(document: NoteDocument, state: FleetState) -> StateDifference:
    """Compare a note with the state in force."""
    comparison = StateDifference(state.release_revision)
    active_versions = {v.id: v for v in state.versions.values() if not v.withdrawn}
    for section in (document.added, document.changed):
        _compare(comparison, "API", ((a.name, a) for a in section.apis), state.apis)
        _compare(
            comparison,
            "version",
            ((v.id, v) for v in section.versions),
            active_versions,
        )
        organisations = ((o.name, o) for o in section.organisations)
        _compare(comparison, "organisation", organisations, state.organisations)
        for version in section.versions:
            if version.id in state.quarantines:
                comparison.lifted.append(f"quarantine of {version.id}")
    comparison.withdrawn.extend(f"version {v}" for v in document.withdrawn_versions)
    comparison.withdrawn.extend(
        f"organisation {o}" for o in document.withdrawn_organisations
    )
    return comparison


def _compare(
    comparison: StateDifference,
    kind: str,
    declared: Iterable[tuple[Any, Any]],
    in_force: dict[Any, Any],
) -> None:
    """Sort declarations into added, changed and unchanged."""
    for name, item in declared:
        label = f"{kind} {name}"
        before = in_force.get(name)
        if before is None:
            comparison.added.append(label)
        elif before == item:
            comparison.unchanged.append(label)
        else:
            comparison.changed[label] = _changed_fields(before, item)


def _changed_fields(before: Any, after: Any) -> dict[str, tuple[Any, Any]]:
    changed = {}
    for attribute in fields(type(before)):
        old = getattr(before, attribute.name)
        new = getattr(after, attribute.name)
        if old != new:
            changed[attribute.name] = (plain_value(old), plain_value(new))
    return changed
