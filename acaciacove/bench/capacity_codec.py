"""Bytes and microseconds of each message between processes."""

from time import process_time

from attrs import frozen

from acaciacove.messages.chunk import Chunk
from acaciacove.messages.digest import Digest
from acaciacove.messages.end import End
from acaciacove.messages.head import Head
from acaciacove.messages.header import Header
from acaciacove.messages.load import Load
from acaciacove.messages.message import Message
from acaciacove.messages.run import Run
from acaciacove.wire.codec import decode, encode

TIMES = 5000
MICROSECONDS = 1_000_000
REQUEST_ID = "0123456789abcdef"
JSON = Header("content-type", "application/json")
SAMPLES: tuple[Message, ...] = (
    Run(REQUEST_ID, 1, 1, "org", "guide", "guide-small@1", "s", body=b"x" * 1000),
    Head(REQUEST_ID, 1, 200, (JSON, Header("x-request-id", REQUEST_ID))),
    Chunk(REQUEST_ID, 1, 1, b"x" * 160),
    End(REQUEST_ID, 1, 100, 50, 100, load=Load(4, 2, 16, False, 0.1, 1.0)),
    Load(4, 2, 16, False, 0.1, 1.0),
    Digest("guide-0001", 1_800_000_000_000, 12_345, "live", True),
)


@frozen
class CodecCost:
    """What one message of a kind costs."""

    message: str
    size_bytes: int
    encode_us: float
    decode_us: float


def measure_codec() -> list[CodecCost]:
    """Measure a typical message of every kind that is frequent."""
    return [_measure(message) for message in SAMPLES]


def _measure(message: Message) -> CodecCost:
    data = encode(message)
    decode(data)
    started_s = process_time()
    for _ in range(TIMES):
        encode(message)
    encoded_s = process_time()
    for _ in range(TIMES):
        decode(data)
    decoded_s = process_time()
    return CodecCost(
        message=type(message).__name__,
        size_bytes=len(data),
        encode_us=round((encoded_s - started_s) / TIMES * MICROSECONDS, 2),
        decode_us=round((decoded_s - encoded_s) / TIMES * MICROSECONDS, 2),
    )
