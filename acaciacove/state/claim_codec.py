"""Codec of the records of claims streams: JSON objects, the items of a batch."""

from base64 import b64decode, b64encode
from typing import Any

import orjson
from cattrs.errors import BaseValidationError
from cattrs.preconf.orjson import make_converter

from acaciacove.errors import MalformedMessageError
from acaciacove.state.claim import Claim
from acaciacove.state.outcome import Outcome
from acaciacove.state.release import Release

ClaimRecord = Claim | Outcome | Release

KIND_FIELD = "kind"
STREAM_PREFIX = "claims/"
_TYPE_BY_KIND: dict[str, type[ClaimRecord]] = {
    "claim": Claim,
    "outcome": Outcome,
    "release": Release,
}
_KIND_BY_TYPE = {cls: kind for kind, cls in _TYPE_BY_KIND.items()}

_converter = make_converter()
_converter.register_unstructure_hook(bytes, lambda data: b64encode(data).decode())
_converter.register_structure_hook(bytes, lambda text, _: b64decode(text))


def claims_stream(partition: int) -> str:
    """Return the name of a partition's stream."""
    return f"{STREAM_PREFIX}{partition}"


def encode_claim_record(record: ClaimRecord) -> bytes:
    """Encode a record as an item of a batch."""
    body = _converter.unstructure(record)
    return orjson.dumps({KIND_FIELD: _KIND_BY_TYPE[type(record)], **body})


def decode_claim_record(item: dict[str, Any]) -> ClaimRecord:
    """Decode an item of a batch; raises MalformedMessageError."""
    try:
        cls = _TYPE_BY_KIND[item[KIND_FIELD]]
        record: ClaimRecord = _converter.structure(item, cls)
    except (KeyError, TypeError, ValueError, BaseValidationError) as error:
        raise MalformedMessageError(
            f"expected a claim, outcome or release record: {error}"
        ) from error
    return record
