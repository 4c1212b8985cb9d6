"""Billing records as JSON objects of a group commit."""

from typing import Any

import orjson
from cattrs.errors import BaseValidationError
from cattrs.preconf.orjson import make_converter

from acaciacove.errors import MalformedMessageError
from acaciacove.state.billing_record import BillingRecord

_converter = make_converter()


def encode_billing_record(record: BillingRecord) -> bytes:
    """Write a record as an item of a group commit.

    The encoder hands out its whole buffer of 4 kB. Records wait in memory through
    an outage of the log, so a copy of the bytes that are used is kept instead.
    """
    return bytes(memoryview(orjson.dumps(_converter.unstructure(record))))


def decode_billing_record(item: dict[str, Any]) -> BillingRecord:
    """Read an item of a group commit; raises MalformedMessageError."""
    try:
        return _converter.structure(item, BillingRecord)
    except (KeyError, TypeError, ValueError, BaseValidationError) as error:
        raise MalformedMessageError(f"not a billing record: {error}") from error
