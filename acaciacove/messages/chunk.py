"""Message with one chunk of an answer."""

from attrs import frozen


@frozen
class Chunk:
    """One chunk of an answer; ``sequence`` starts at 0 and has no gaps.

    ``data`` is forwarded to the caller unchanged: body bytes, or complete
    server-sent events. ``tokens`` counts the generated tokens in ``data``; an
    interrupted stream is resumed after them.
    """

    request_id: str
    attempt: int
    sequence: int
    data: bytes
    tokens: int = 0
