"""Billing records packed for a long wait, without what their holder knows anyway.

A row leaves out the field names, the request id (the key that it is held under) and
the writer (the process that holds it).
"""

from collections.abc import Iterable

import orjson

from acaciacove.state.billing_record import BillingRecord

Holders = tuple[str, ...]


def pack_row(record: BillingRecord, holders: Iterable[str] | None) -> bytes:
    """Pack a record; ``holders`` is None for a sidecar's copy.

    The encoder hands out its whole buffer of 4 kB, so a copy of the bytes that are
    used is kept instead.
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
    """Return the record of a row that was held under ``request_id``."""
    values = [request_id, *orjson.loads(row)[:-1], writer]
    return BillingRecord(*values)


def unpack_holders(row: bytes) -> Holders | None:
    """Return the sidecars that may hold a copy; None when the row is a copy itself."""
    holders = orjson.loads(row)[-1]
    return None if holders is None else tuple(holders)
