"""Reads a release note from YAML and reports all of its faults."""

from typing import Any

from yaml import MappingNode, Node, ScalarNode, SequenceNode

from acaciacove.fleet.api import Api
from acaciacove.fleet.api_kind import ApiKind
from acaciacove.fleet.fleet_state import NO_REVISION
from acaciacove.fleet.organisation import Organisation
from acaciacove.fleet.version import Version
from acaciacove.release_format.declarations import Declarations
from acaciacove.release_format.fault_list import FaultList, line_number
from acaciacove.release_format.invalid_note_error import InvalidNoteError
from acaciacove.release_format.load_nodes import load_nodes
from acaciacove.release_format.node_readers import (
    UNREADABLE,
    Key,
    integer,
    join,
    list_of,
    mapping_of,
    number,
    one_of,
    read_boolean,
    read_call,
    read_digest,
    read_keys,
    read_name,
    read_text,
    read_version_id,
    read_version_name,
)
from acaciacove.release_format.note_document import NoteDocument
from acaciacove.release_format.note_fault import text_position

API_KEYS = {
    "name": Key(read_name, required=True),
    "kind": Key(one_of({kind.value: kind for kind in ApiKind}), required=True),
    "quality_target": Key(number(0, 1)),
    "non_idempotent": Key(list_of(read_call)),
    "echoes_request_id": Key(read_boolean),
}
VERSION_KEYS = {
    "id": Key(read_version_id, required=True),
    "api": Key(read_name, required=True),
    "cost_per_1k_tokens": Key(number(0), required=True),
    "quality": Key(number(0, 1)),
    "cold_bears": Key(integer(1)),
    "warm_bears": Key(integer(1)),
    "warm_up_s": Key(number(0)),
    "replaces": Key(read_version_id),
    "first_share": Key(number(0, 1)),
}
ORGANISATION_KEYS = {
    "name": Key(read_name, required=True),
    "weight": Key(number(0, above=True)),
    "token_sha256": Key(list_of(read_digest), required=True),
    "allowed": Key(mapping_of(list_of(read_version_name)), required=True),
}


def _read_api(node: Node, path: str, faults: FaultList) -> Any:
    values = read_keys(node, path, faults, API_KEYS)
    return UNREADABLE if values is None else Api(**values)


def _read_version(node: Node, path: str, faults: FaultList) -> Any:
    values = read_keys(node, path, faults, VERSION_KEYS)
    if values is None:
        return UNREADABLE
    version = Version(**values)
    if version.cold_bears > version.warm_bears:
        message = f"is above warm_bears, {version.warm_bears}"
        faults.add(node, join(path, "cold_bears"), message)
    if version.replaces == version.id:
        faults.add(node, join(path, "replaces"), "a version cannot replace itself")
    return version


def _read_organisation(node: Node, path: str, faults: FaultList) -> Any:
    values = read_keys(node, path, faults, ORGANISATION_KEYS)
    return UNREADABLE if values is None else Organisation(**values)


DECLARATION_KEYS = {
    "apis": Key(list_of(_read_api)),
    "versions": Key(list_of(_read_version)),
    "organisations": Key(list_of(_read_organisation)),
}
WITHDRAWAL_KEYS = {
    "versions": Key(list_of(read_version_id)),
    "organisations": Key(list_of(read_name)),
}


def _read_declarations(node: Node, path: str, faults: FaultList) -> Any:
    return Declarations(**(read_keys(node, path, faults, DECLARATION_KEYS) or {}))


def _read_withdrawals(node: Node, path: str, faults: FaultList) -> Any:
    return read_keys(node, path, faults, WITHDRAWAL_KEYS) or {}


NOTE_KEYS = {
    "note": Key(read_name, required=True),
    "based_on": Key(integer(NO_REVISION)),
    "operator": Key(read_text),
    "summary": Key(read_text),
    "added": Key(_read_declarations),
    "changed": Key(_read_declarations),
    "withdrawn": Key(_read_withdrawals),
}


SECTIONS = ("added", "changed", "withdrawn")


def read_note(data: bytes, max_bytes: int) -> NoteDocument:
    """Read a release note; raises InvalidNoteError with every fault."""
    root = load_nodes(data, max_bytes)
    faults = FaultList()
    values = read_keys(root, "", faults, NOTE_KEYS)
    _find_duplicates(root, faults)
    if values is None or faults.faults:
        raise InvalidNoteError(sorted(faults.faults, key=text_position))
    withdrawn = values.get("withdrawn", {})
    return NoteDocument(
        note_id=values.get("note", ""),
        based_on=values.get("based_on"),
        operator=values.get("operator", ""),
        summary=values.get("summary", ""),
        added=values.get("added", Declarations()),
        changed=values.get("changed", Declarations()),
        withdrawn_versions=withdrawn.get("versions", ()),
        withdrawn_organisations=withdrawn.get("organisations", ()),
        lines=_lines_by_path(root, ""),
    )


def _find_duplicates(root: Node, faults: FaultList) -> None:
    """Add a fault for each name that is declared or withdrawn more than once.

    For a version that is both added and withdrawn, the result would depend on the
    order in which the two lists are processed.
    """
    paths: dict[tuple[str, str], list[str]] = {}
    for section, section_node in _key_values(root):
        for group, list_node in _key_values(section_node):
            if section not in SECTIONS or not isinstance(list_node, SequenceNode):
                continue
            for index, item in enumerate(list_node.value):
                name = _item_name(item)
                if name is None:
                    continue
                path = f"{section}.{group}[{index}]"
                earlier_paths = paths.setdefault((group, name), [])
                if earlier_paths:
                    message = f"{name} stands already at {earlier_paths[0]}"
                    faults.add(item, path, message)
                earlier_paths.append(path)


def _item_name(node: Node) -> str | None:
    """Return the withdrawn name, or the ``name`` or ``id`` of a declaration."""
    if isinstance(node, ScalarNode):
        return str(node.value)
    for key, value in _key_values(node):
        if key in ("name", "id") and isinstance(value, ScalarNode):
            return str(value.value)
    return None


def _key_values(node: Node) -> list[tuple[str, Node]]:
    """List the keys and value nodes of a mapping; empty for other nodes."""
    if not isinstance(node, MappingNode):
        return []
    return [(str(key.value), value) for key, value in node.value]


def _lines_by_path(node: Node, path: str) -> dict[str, int]:
    """Map each path of keys to its line."""
    lines = {path: line_number(node)}
    for key, value in _key_values(node):
        lines.update(_lines_by_path(value, join(path, key)))
    if isinstance(node, SequenceNode):
        for index, item in enumerate(node.value):
            lines.update(_lines_by_path(item, f"{path}[{index}]"))
    return lines
