"""Reads a fleet file and collects all its errors."""

from typing import Any

from yaml import Node

from acaciacove.fleet.api_kind import ApiKind
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.role import Role
from acaciacove.release_format.fault_list import FaultList
from acaciacove.release_format.invalid_note_error import InvalidNoteError
from acaciacove.release_format.load_nodes import load_nodes
from acaciacove.release_format.node_readers import (
    UNREADABLE,
    Key,
    integer,
    list_of,
    number,
    one_of,
    read_keys,
    read_name,
    read_text,
    read_version_id,
)
from acaciacove.standins.endpoint_entry import EndpointEntry
from acaciacove.standins.fleet_file import FleetFile

MAX_FILE_BYTES = 262_144
ENDPOINT_KEYS = {
    "port": Key(integer(1), required=True),
    "kind": Key(one_of({kind.value: kind for kind in ApiKind}), required=True),
    "versions": Key(list_of(read_version_id)),
    "quality": Key(number(0, 1)),
    "token_s": Key(number(0)),
}
INSTANCE_KEYS = {
    "name": Key(read_name, required=True),
    "role": Key(one_of({role.value: role for role in Role}), required=True),
    "region": Key(read_name, required=True),
    "availability_zone": Key(read_name, required=True),
    "host": Key(read_text, required=True),
    "port": Key(integer(1), required=True),
    "http_port": Key(integer(1), required=True),
    "versions": Key(list_of(read_version_id)),
}


def _read_endpoint(node: Node, path: str, faults: FaultList) -> Any:
    values = read_keys(node, path, faults, ENDPOINT_KEYS)
    return UNREADABLE if values is None else EndpointEntry(**values)


def _read_instance(node: Node, path: str, faults: FaultList) -> Any:
    values = read_keys(node, path, faults, INSTANCE_KEYS)
    return UNREADABLE if values is None else Instance(**values)


FLEET_KEYS = {
    "host": Key(read_text, required=True),
    "log_port": Key(integer(1), required=True),
    "instance_list_port": Key(integer(1), required=True),
    "rating_port": Key(integer(1), required=True),
    "weight_store_port": Key(integer(1), required=True),
    "endpoints": Key(list_of(_read_endpoint), required=True),
    "instances": Key(list_of(_read_instance), required=True),
}


def read_fleet_file(data: bytes) -> FleetFile:
    """Read a fleet file; raises InvalidNoteError with all errors."""
    faults = FaultList()
    root = load_nodes(data, MAX_FILE_BYTES)
    values = read_keys(root, "", faults, FLEET_KEYS)
    if values is None or faults.faults:
        raise InvalidNoteError(faults.faults)
    return FleetFile(**values)
