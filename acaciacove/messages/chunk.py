"""A piece of an answer; sequences start at 0 and have no gaps."""

from attrs import frozen


@frozen
class Chunk:
    """A piece of an answer; sequences start at 0 and have no gaps.

    ``data`` goes to the caller as it is: body bytes, or whole server-sent events.
    ``tokens`` counts the generated tokens in it, from which a stream is resumed.
    """

    request_id: str
    attempt: int
    sequence: int
    data: bytes
    tokens: int = 0
