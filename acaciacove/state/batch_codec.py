"""Encodes and decodes the payloads of group commits as JSON."""

import orjson

from acaciacove.errors import MalformedMessageError
from acaciacove.state.batch import Batch


def encode_batch(
    writer: str, incarnation: int, sequence: int, items: list[bytes]
) -> bytes:
    """Encode one payload; each item is already encoded as a JSON object."""
    return orjson.dumps(
        {
            "writer": writer,
            "incarnation": incarnation,
            "sequence": sequence,
            "items": [orjson.Fragment(item) for item in items],
        }
    )


def decode_batch(payload: bytes) -> Batch:
    """Decode one payload; raises MalformedMessageError."""
    try:
        document = orjson.loads(payload)
        items = tuple(item for item in document["items"] if isinstance(item, dict))
        return Batch(
            str(document["writer"]),
            int(document["incarnation"]),
            int(document["sequence"]),
            items,
        )
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as error:
        raise MalformedMessageError(
            f"log payload is not a batch of items: {error}"
        ) from error
