"""What the owner of a claim knows: see ``state.claims`` for ``status``."""

from attrs import frozen

from acaciacove.messages.header import Header


@frozen
class ClaimAnswer:
    """What the owner of a claim knows: see ``state.claim_status`` for ``status``.

    ``incarnation`` is that of the process that answers; a claim of an earlier one
    has lost its owner.
    """

    query_id: str
    key: str
    status: str
    http_status: int = 0
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    incarnation: int = 0
