"""A chunk of an answer."""

from attrs import frozen


@frozen
class AnswerChunk:
    """Bytes that are sent to the caller unchanged."""

    data: bytes
