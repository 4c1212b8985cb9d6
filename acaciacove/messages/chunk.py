"""A piece of an answer; sequences start at 0 and have no gaps."""

from attrs import frozen


@frozen
class Chunk:
    """A piece of an answer; sequences start at 0 and have no gaps."""

    request_id: str
    attempt: int
    sequence: int
    data: bytes
