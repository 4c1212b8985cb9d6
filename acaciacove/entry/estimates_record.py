"""Quality estimates from ratings, as published by the entries that read them."""

from typing import Any

import orjson
from attrs import frozen

from acaciacove.decisions.shared_cell import SharedCell
from acaciacove.errors import MalformedMessageError

ESTIMATES_STREAM = "estimates"


@frozen
class EstimatesRecord:
    """Counters changed since the last record, and the last rating they include.

    ``sequence`` is the rating service's sequence number. All readers of the same
    ratings compute the same counts, so two concurrent publishers do no harm.
    """

    sequence: int
    quality: tuple[SharedCell, ...] = ()
    guard: tuple[SharedCell, ...] = ()


def encode_estimates(record: EstimatesRecord) -> bytes:
    """Encode a record, with cells as arrays to keep it small."""
    document = {
        "sequence": record.sequence,
        "quality": [_to_list(cell) for cell in record.quality],
        "guard": [_to_list(cell) for cell in record.guard],
    }
    return orjson.dumps(document)


def decode_estimates(document: dict[str, Any]) -> EstimatesRecord:
    """Decode a record from its JSON object; raises MalformedMessageError."""
    try:
        return EstimatesRecord(
            int(document["sequence"]),
            tuple(_from_list(cell) for cell in document["quality"]),
            tuple(_from_list(cell) for cell in document["guard"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedMessageError(
            f"invalid record in the estimates stream: {error}"
        ) from error


def _to_list(cell: SharedCell) -> list[object]:
    return [cell.origin, cell.name, cell.count, cell.total, cell.squares]


def _from_list(values: list[object]) -> SharedCell:
    origin, name, count, total, squares = values
    if not isinstance(name, list):
        raise TypeError(
            f"name of an estimates cell: expected a list, got {type(name).__name__}"
        )
    return SharedCell(
        str(origin),
        tuple(str(part) for part in name),
        float(str(count)),
        float(str(total)),
        float(str(squares)),
    )
