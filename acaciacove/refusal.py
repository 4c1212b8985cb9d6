"""The one value that stands for every failure of a request."""

from attrs import frozen

from acaciacove.reason import Reason


@frozen
class Refusal:
    """Why there is no answer, returned in its place.

    ``not_run`` is a promise: true only if no endpoint has seen the request and
    none will. ``retry_after_s`` tells when a retry may do better, if ever.
    ``detail`` is one sentence for a person; programs read ``reason``.
    """

    reason: Reason
    not_run: bool
    detail: str = ""
    retry_after_s: float | None = None
