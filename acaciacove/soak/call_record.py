"""Record of one request and of the answer that its caller received."""

from attrs import define

from acaciacove.soak.call_kind import CallKind


@define(eq=False)
class CallRecord:
    """One request. Times are those of the soak's event loop.

    ``sent_body`` is what the caller sent, ``body`` what it received.
    ``status`` is None while no answer came. ``complete`` is set when the answer was
    received up to the end of its framing, ``closed`` if the connection ended before.
    ``retry_after`` is that field. ``read_pause_s`` is how long a slow caller
    reads nothing: infinite for one that never reads, None for a quick caller.
    ``crashing_part`` is the part of its prompt that crashes endpoints, if it has one.
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
    retry_after: str | None = None
    read_pause_s: float | None = None
    crashing_part: str | None = None
