"""Codec of billing records: JSON objects, the items of a batch in the log."""

from typing import Any

import orjson
from cattrs.errors import BaseValidationError
from cattrs.preconf.orjson import make_converter

from acaciacove.errors import MalformedMessageError
from acaciacove.state.billing_record import BillingRecord

_converter = make_converter()


def encode_billing_record(record: BillingRecord) -> bytes:
    """Encode a record as an item of a batch.

    The bytes object of the encoder keeps its complete 4 kB buffer. Records stay in
    memory during an outage of the log, so the used bytes are copied.
    """
    return bytes(memoryview(orjson.dumps(_converter.unstructure(record))))


def decode_billing_record(item: dict[str, Any]) -> BillingRecord:
    """Decode an item of a batch; raises MalformedMessageError."""
    try:
        return _converter.structure(item, BillingRecord)
    except (KeyError, TypeError, ValueError, BaseValidationError) as error:
        raise MalformedMessageError(f"expected a billing record: {error}") from error
