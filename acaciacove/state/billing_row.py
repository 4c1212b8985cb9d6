"""Compact form of billing records, for retention during an outage of the log.

A row omits the field names, the request id (the key under which it is held) and the
writer (the process that holds it).
"""

from collections.abc import Iterable

import orjson

from acaciacove.state.billing_record import BillingRecord

Holders = tuple[str, ...]


def pack_row(record: BillingRecord, holders: Iterable[str] | None) -> bytes:
    """Pack a record; ``holders`` is None for a sidecar's copy.

    The bytes object of the encoder keeps its complete 4 kB buffer, so the used bytes
    are copied.
    """
    row = (
        record.organisation,
        record.api,
        record.version,
        record.answered,
        record.cost,
        record.prompt_tokens,
        record.completion_tokens,
        record.at_s,
        None if holders is None else tuple(holders),
    )
    return bytes(memoryview(orjson.dumps(row)))


def unpack_row(request_id: str, writer: str, row: bytes) -> BillingRecord:
    """Unpack the record of a row that was held under ``request_id``."""
    values = [request_id, *orjson.loads(row)[:-1], writer]
    return BillingRecord(*values)


def unpack_holders(row: bytes) -> Holders | None:
    """Unpack the sidecars that may hold a copy; None if the row is itself a copy."""
    holders = orjson.loads(row)[-1]
    return None if holders is None else tuple(holders)
