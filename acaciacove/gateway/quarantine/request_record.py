"""Records of suspected and quarantined requests in the platform's log."""

import math

import orjson
from attrs import frozen

from acaciacove.errors import MalformedMessageError
from acaciacove.gateway.quarantine.request_fingerprint import format_fingerprint

HEX_BASE = 16


@frozen
class RequestRecord:
    """A suspected or, if ``quarantined``, a quarantined request.

    The record expires at ``until_s``, in Unix seconds.
    """

    fingerprint: int
    quarantined: bool
    until_s: float


def record_key(fingerprint: int) -> str:
    """Return the key of the record of a request."""
    return format_fingerprint(fingerprint)


def encode_record(record: RequestRecord) -> bytes:
    """Encode the value of a record as JSON."""
    document = {"quarantined": record.quarantined, "until_s": record.until_s}
    return orjson.dumps(document)


def decode_record(key: str, value: bytes) -> RequestRecord:
    """Decode a record; raises MalformedMessageError."""
    try:
        document = orjson.loads(value)
        record = RequestRecord(
            fingerprint=int(key, HEX_BASE),
            quarantined=bool(document["quarantined"]),
            until_s=float(document["until_s"]),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise MalformedMessageError(
            f"quarantine record {key!r} is not valid: {error!r}"
        ) from error
    if not math.isfinite(record.until_s) or key != record_key(record.fingerprint):
        raise MalformedMessageError(
            f"quarantine record {key!r}: expected a key of 16 hexadecimal digits "
            f"and a finite until_s, got until_s {record.until_s}"
        )
    return record
