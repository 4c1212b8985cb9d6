"""Message with the status and headers of an answer."""

from attrs import frozen

from acaciacove.messages.header import Header


@frozen
class Head:
    """Status and headers of an answer; sent before its chunks."""

    request_id: str
    attempt: int
    status: int
    headers: tuple[Header, ...] = ()
