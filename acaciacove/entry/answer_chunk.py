"""A piece of an answer on its way to the caller."""

from attrs import frozen


@frozen
class AnswerChunk:
    """Bytes that go to the caller as they are."""

    data: bytes
