"""A chunk of an engine's answer."""

from attrs import frozen


@frozen
class EngineChunk:
    """Bytes that are relayed unchanged.

    In a stream, ``data`` is one server-sent event with its blank line, checked to
    belong to the request. ``text`` is the text that it adds to the answer, and
    ``tokens`` its number of tokens. Otherwise ``data`` is the complete body.
    """

    data: bytes
    tokens: int = 0
    text: str = ""
