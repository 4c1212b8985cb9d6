"""The result of a request that failed or was refused."""

from attrs import frozen

from acaciacove.reason import Reason


@frozen
class Refusal:
    """The reason why there is no response, returned in its place.

    ``not_run`` is a guarantee: it is true only if no endpoint has received the
    request and none will. ``retry_after_s`` is the time after which a retry may
    succeed, or None if no such time is known. ``detail`` is one sentence for people;
    programs use ``reason``.
    """

    reason: Reason
    not_run: bool
    detail: str = ""
    retry_after_s: float | None = None
