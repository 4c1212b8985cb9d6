"""The head of an engine's answer."""

from attrs import frozen

from acaciacove.messages.header import Header


@frozen
class EngineHead:
    """Status and end-to-end headers: the first event, unless the call failed."""

    status: int
    headers: tuple[Header, ...] = ()
