"""A piece of an engine's answer."""

from attrs import frozen


@frozen
class EngineChunk:
    """Bytes to relay as they are.

    In a stream it is one server-sent event with its blank line, checked to belong
    to the request; ``text`` is what it adds to the answer and ``tokens`` how many
    tokens that is. Otherwise it is the whole body.
    """

    data: bytes
    tokens: int = 0
    text: str = ""
