"""A plain service's answer."""

from attrs import frozen

from acaciacove.messages.header import Header


@frozen
class ServiceAnswer:
    """The complete answer with its end-to-end headers, for any status."""

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""
