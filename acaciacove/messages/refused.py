"""Message of a sidecar that an attempt was refused or failed."""

from attrs import frozen

from acaciacove.messages.load import Load


@frozen
class Refused:
    """An attempt was refused by the sidecar, or failed.

    ``not_run`` is true only if the endpoint has not received the request and will
    not receive it.
    """

    request_id: str
    attempt: int
    reason: str
    not_run: bool
    detail: str = ""
    retry_after_s: float | None = None
    revision: int = -1
    load: Load = Load()
