"""The record of a request that is held back, in the platform's log."""

import math

import orjson
from attrs import frozen

from acaciacove.errors import MalformedMessageError
from acaciacove.gateway.quarantine.request_fingerprint import format_fingerprint

HEX_BASE = 16


@frozen
class RequestRecord:
    """``until_s`` is the time of day, in seconds since 1970, when it may be forgotten.

    A request that is not ``quarantined`` is suspected.
    """

    fingerprint: int
    quarantined: bool
    until_s: float


def record_key(fingerprint: int) -> str:
    """Return the key of a request's record."""
    return format_fingerprint(fingerprint)


def encode_record(record: RequestRecord) -> bytes:
    """Return the bytes of a record."""
    document = {"quarantined": record.quarantined, "until_s": record.until_s}
    return orjson.dumps(document)


def decode_record(key: str, value: bytes) -> RequestRecord:
    """Read a record; raises MalformedMessageError."""
    try:
        document = orjson.loads(value)
        record = RequestRecord(
            fingerprint=int(key, HEX_BASE),
            quarantined=bool(document["quarantined"]),
            until_s=float(document["until_s"]),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise MalformedMessageError(f"{key}: {error!r}") from error
    if not math.isfinite(record.until_s) or key != record_key(record.fingerprint):
        raise MalformedMessageError(f"{key}: not a record of a request")
    return record
