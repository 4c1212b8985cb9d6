"""The sidecar's refusal of an attempt, or its failure."""

from attrs import frozen

from acaciacove.messages.load import Load


@frozen
class Refused:
    """The sidecar's refusal of an attempt, or its failure.

    ``not_run`` is true only if the endpoint has not seen the request and will not.
    """

    request_id: str
    attempt: int
    reason: str
    not_run: bool
    detail: str = ""
    retry_after_s: float | None = None
    revision: int = -1
    load: Load = Load()
