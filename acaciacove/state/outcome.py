"""The record of how a claimed call ended."""

from attrs import frozen

from acaciacove.messages.header import Header


@frozen
class Outcome:
    """What became of a claim's call.

    ``known`` is false when the endpoint may have acted without an answer. A small
    answer is kept whole (``answer_kept``), so that it outlives its owner.
    """

    key: str
    claim_id: str
    known: bool
    answer_kept: bool = False
    status: int = 0
    headers: tuple[Header, ...] = ()
    body: bytes = b""
