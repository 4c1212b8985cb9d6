"""What a caller sent, and what it saw."""

from attrs import define

from acaciacove.soak.call_kind import CallKind


@define(eq=False)
class CallRecord:
    """One request. Times are of the soak's loop.

    ``sent_body`` is what the caller sent, ``body`` what it got.
    ``status`` is None while no answer came; ``complete`` tells that the answer's
    framing was whole. ``closed`` is set if the connection ended before that.
    """

    request_id: str
    kind: CallKind
    key: str
    gateway: int
    sent_s: float
    ended_s: float = 0.0
    status: int | None = None
    complete: bool = False
    closed: bool = False
    receipt: str = ""
    sent_body: bytes = b"body"
    body: bytes = b""
