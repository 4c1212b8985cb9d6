"""From a release note, or from what is in force, to YAML."""

from collections.abc import Iterable
from typing import Any

import yaml
from attrs import NOTHING, fields

from acaciacove.fleet.api import Api
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.organisation import Organisation
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId
from acaciacove.release_format.declarations import Declarations
from acaciacove.release_format.note_document import NoteDocument
from acaciacove.state.release_note import ReleaseNote

WIDTH = 88
NOT_WRITTEN = frozenset({"withdrawn"})


def write_document(document: NoteDocument) -> str:
    """Write a release note as YAML; values that equal their default are left out."""
    tree: dict[str, Any] = {"note": document.note_id}
    if document.based_on is not None:
        tree["based_on"] = document.based_on
    if document.operator:
        tree["operator"] = document.operator
    if document.summary:
        tree["summary"] = document.summary
    _put(tree, "added", _declarations(document.added))
    _put(tree, "changed", _declarations(document.changed))
    withdrawn: dict[str, Any] = {}
    _put(withdrawn, "versions", [str(v) for v in document.withdrawn_versions])
    _put(withdrawn, "organisations", list(document.withdrawn_organisations))
    _put(tree, "withdrawn", withdrawn)
    return yaml.safe_dump(tree, sort_keys=False, allow_unicode=True, width=WIDTH)


def document_of(note: ReleaseNote, state: FleetState) -> NoteDocument:
    """Tell added from changed by what was in force before the note."""
    live = [v.id for v in state.versions.values() if not v.withdrawn]
    apis = _split(note.apis, lambda api: api.name in state.apis)
    versions = _split(note.versions, lambda version: version.id in live)
    organisations = _split(note.organisations, lambda o: o.name in state.organisations)
    return NoteDocument(
        note_id=note.note_id,
        based_on=note.based_on,
        operator=note.operator,
        summary=note.summary,
        added=Declarations(apis[0], versions[0], organisations[0]),
        changed=Declarations(apis[1], versions[1], organisations[1]),
        withdrawn_versions=note.withdrawn,
        withdrawn_organisations=note.organisations_removed,
    )


def document_in_force(state: FleetState) -> NoteDocument:
    """Write what is in force as the one note that would declare it."""
    versions = tuple(v for v in state.versions.values() if not v.withdrawn)
    return NoteDocument(
        note_id=f"in-force-{max(state.release_revision, 0)}",
        added=Declarations(
            tuple(state.apis.values()), versions, tuple(state.organisations.values())
        ),
    )


def _split(items: Iterable[Any], known: Any) -> tuple[tuple[Any, ...], ...]:
    """Part items into unknown and known ones."""
    listed = list(items)
    unknown_items = tuple(item for item in listed if not known(item))
    return unknown_items, tuple(item for item in listed if known(item))


def _put(tree: dict[str, Any], key: str, value: Any) -> None:
    if value:
        tree[key] = value


def _declarations(half: Declarations) -> dict[str, Any]:
    tree: dict[str, Any] = {}
    _put(tree, "apis", [_attributes(api) for api in half.apis])
    _put(tree, "versions", [_attributes(version) for version in half.versions])
    _put(tree, "organisations", [_attributes(o) for o in half.organisations])
    return tree


ALWAYS_WRITTEN = frozenset({"token_sha256", "allowed"})


def _attributes(item: Api | Version | Organisation) -> dict[str, Any]:
    """Write the fields of one declaration."""
    tree: dict[str, Any] = {}
    for attribute in fields(type(item)):
        value = getattr(item, attribute.name)
        if attribute.name in NOT_WRITTEN:
            continue
        is_default = attribute.default is not NOTHING and value == attribute.default
        if attribute.name in ALWAYS_WRITTEN or not is_default:
            tree[attribute.name] = plain_value(value)
    return tree


def plain_value(value: Any) -> Any:
    """Write a value in the words of the format."""
    if isinstance(value, VersionId):
        return str(value)
    if isinstance(value, tuple):
        return [plain_value(item) for item in value]
    if isinstance(value, dict):
        return {key: plain_value(item) for key, item in value.items()}
    if hasattr(value, "path_prefix"):
        return f"{value.method} {value.path_prefix}"
    return str(value) if isinstance(value, str) else value
