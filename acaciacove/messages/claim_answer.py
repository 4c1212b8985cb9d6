"""Answer of the owner of a claim to a ``ClaimQuery``."""

from attrs import frozen

from acaciacove.messages.header import Header


@frozen
class ClaimAnswer:
    """State of a claim at its owner; ``status`` is a ``ClaimStatus``.

    ``incarnation`` is that of the process that answers. The owner of a claim of an
    earlier incarnation no longer runs.
    """

    query_id: str
    key: str
    status: str
    http_status: int = 0
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    incarnation: int = 0
