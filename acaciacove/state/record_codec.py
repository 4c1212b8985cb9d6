"""Encodes records of the release stream as JSON, which operators can read."""

from typing import Any

import orjson
from cattrs.errors import BaseValidationError
from cattrs.preconf.orjson import make_converter

from acaciacove.errors import MalformedMessageError
from acaciacove.fleet.version_id import VersionId, parse_version_id
from acaciacove.state.exposure_record import ExposureRecord
from acaciacove.state.instance_decision import InstanceDecision
from acaciacove.state.quarantine_record import QuarantineRecord
from acaciacove.state.record import Record
from acaciacove.state.release_note import ReleaseNote
from acaciacove.state.snapshot import Snapshot
from acaciacove.state.zone_decision import ZoneDecision

KIND = "kind"
BODY = "body"
_KINDS: dict[str, type[Record]] = {
    "release_note": ReleaseNote,
    "zone_decision": ZoneDecision,
    "instance_decision": InstanceDecision,
    "quarantine": QuarantineRecord,
    "exposure": ExposureRecord,
    "snapshot": Snapshot,
}
_NAMES = {cls: kind for kind, cls in _KINDS.items()}


def _read_version_id(text: Any, _: type) -> VersionId:
    """Parse a version id from its text form."""
    version = parse_version_id(text) if isinstance(text, str) else None
    if version is None:
        raise ValueError(f"expected a version id, got {text!r}")
    return version


_converter = make_converter()
_converter.register_unstructure_hook(VersionId, str)
_converter.register_structure_hook(VersionId, _read_version_id)


def encode_record(record: Record) -> bytes:
    """Encode a record for the log."""
    body = _converter.unstructure(record)
    return orjson.dumps({KIND: _NAMES[type(record)], BODY: body})


def decode_record(payload: bytes) -> Record:
    """Decode a record; raises MalformedMessageError."""
    try:
        document = orjson.loads(payload)
        cls = _KINDS[document[KIND]]
        record: Record = _converter.structure(document[BODY], cls)
    except (
        orjson.JSONDecodeError,
        KeyError,
        TypeError,
        ValueError,
        BaseValidationError,
    ) as error:
        raise MalformedMessageError(f"log payload is not a record: {error}") from error
    return record
