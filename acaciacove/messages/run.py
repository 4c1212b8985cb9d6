"""Message of an entry that starts an attempt at a sidecar."""

from attrs import frozen

from acaciacove.messages.header import Header


@frozen
class Run:
    """One attempt at a request, from an entry to a sidecar.

    ``deadline_s`` is the remaining time when it was sent, since clocks differ.
    ``revision`` is the entry's. ``received_tokens`` and ``received_text`` are
    non-empty when an interrupted stream is resumed. ``billed`` lists requests whose
    billing record is in the log.
    """

    request_id: str
    attempt: int
    revision: int
    organisation: str
    api: str
    version: str
    session: str = ""
    idempotency_key: str = ""
    deadline_s: float = 30.0
    stream: bool = False
    non_idempotent: bool = False
    batch: bool = False
    estimated_tokens: int = 0
    request_class: str = ""
    method: str = "POST"
    path: str = "/"
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    received_tokens: int = 0
    received_text: str = ""
    billed: tuple[str, ...] = ()
