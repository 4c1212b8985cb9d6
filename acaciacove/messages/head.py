"""Status and headers of an answer, before its chunks."""

from attrs import frozen

from acaciacove.messages.header import Header


@frozen
class Head:
    """Status and headers of an answer, before its chunks."""

    request_id: str
    attempt: int
    status: int
    headers: tuple[Header, ...] = ()
