"""Writes a release note, or the state in force, as YAML."""

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

MAX_LINE_LENGTH = 88
OMITTED_FIELDS = frozenset({"withdrawn"})


def write_document(document: NoteDocument) -> str:
    """Write a release note as YAML; omits optional values equal to the default."""
    tree: dict[str, Any] = {"note": document.note_id}
    if document.based_on is not None:
        tree["based_on"] = document.based_on
    if document.operator:
        tree["operator"] = document.operator
    if document.summary:
        tree["summary"] = document.summary
    _set_if_not_empty(tree, "added", _declarations_tree(document.added))
    _set_if_not_empty(tree, "changed", _declarations_tree(document.changed))
    withdrawn: dict[str, Any] = {}
    _set_if_not_empty(
        withdrawn, "versions", [str(v) for v in document.withdrawn_versions]
    )
    _set_if_not_empty(
        withdrawn, "organisations", list(document.withdrawn_organisations)
    )
    _set_if_not_empty(tree, "withdrawn", withdrawn)
    return yaml.safe_dump(
        tree, sort_keys=False, allow_unicode=True, width=MAX_LINE_LENGTH
    )


def document_from_note(note: ReleaseNote, state: FleetState) -> NoteDocument:
    """Convert a record to a document.

    ``state`` is the state in force before the note. A declaration whose name is in
    force there is listed as changed, any other as added.
    """
    live = [v.id for v in state.versions.values() if not v.withdrawn]
    apis = _partition(note.apis, lambda api: api.name in state.apis)
    versions = _partition(note.versions, lambda version: version.id in live)
    organisations = _partition(
        note.organisations, lambda o: o.name in state.organisations
    )
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
    """Return a single note that declares the entire state in force."""
    versions = tuple(v for v in state.versions.values() if not v.withdrawn)
    return NoteDocument(
        note_id=f"in-force-{max(state.release_revision, 0)}",
        added=Declarations(
            tuple(state.apis.values()), versions, tuple(state.organisations.values())
        ),
    )


def _partition(items: Iterable[Any], is_known: Any) -> tuple[tuple[Any, ...], ...]:
    """Split items into those that are not known and those that are."""
    listed = list(items)
    unknown_items = tuple(item for item in listed if not is_known(item))
    return unknown_items, tuple(item for item in listed if is_known(item))


def _set_if_not_empty(tree: dict[str, Any], key: str, value: Any) -> None:
    if value:
        tree[key] = value


def _declarations_tree(section: Declarations) -> dict[str, Any]:
    tree: dict[str, Any] = {}
    _set_if_not_empty(tree, "apis", [_declaration_fields(api) for api in section.apis])
    _set_if_not_empty(
        tree, "versions", [_declaration_fields(version) for version in section.versions]
    )
    _set_if_not_empty(
        tree, "organisations", [_declaration_fields(o) for o in section.organisations]
    )
    return tree


REQUIRED_FIELDS = frozenset({"token_sha256", "allowed"})


def _declaration_fields(item: Api | Version | Organisation) -> dict[str, Any]:
    """Return the fields of one declaration as plain values."""
    tree: dict[str, Any] = {}
    for attribute in fields(type(item)):
        value = getattr(item, attribute.name)
        if attribute.name in OMITTED_FIELDS:
            continue
        is_default = attribute.default is not NOTHING and value == attribute.default
        if attribute.name in REQUIRED_FIELDS or not is_default:
            tree[attribute.name] = plain_value(value)
    return tree


def plain_value(value: Any) -> Any:
    """Convert a value to plain values that YAML can represent."""
    if isinstance(value, VersionId):
        return str(value)
    if isinstance(value, tuple):
        return [plain_value(item) for item in value]
    if isinstance(value, dict):
        return {key: plain_value(item) for key, item in value.items()}
    if hasattr(value, "path_prefix"):
        return f"{value.method} {value.path_prefix}"
    return str(value) if isinstance(value, str) else value
