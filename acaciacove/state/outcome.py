"""Record of the outcome of a claimed call."""

from attrs import frozen

from acaciacove.messages.header import Header


@frozen
class Outcome:
    """Outcome of the call of a claim.

    ``known`` is false if the endpoint may have acted without returning an answer. A
    small answer is stored completely (``answer_kept``), so that it remains available
    after its owner has ended.
    """

    key: str
    claim_id: str
    known: bool
    answer_kept: bool = False
    status: int = 0
    headers: tuple[Header, ...] = ()
    body: bytes = b""
