"""An API that callers use, served by one or more versions."""

from attrs import frozen

from acaciacove.fleet.api_kind import ApiKind
from acaciacove.fleet.call_rule import CallRule


@frozen
class Api:
    """An API with its name and kind.

    ``quality_target`` is the mean rating (0 to 1) that answers have to meet.
    ``non_idempotent`` lists the calls that may run at most once.
    ``echoes_request_id`` is set when answers return ``X-Request-Id``.
    """

    name: str
    kind: ApiKind
    quality_target: float = 0.0
    non_idempotent: tuple[CallRule, ...] = ()
    echoes_request_id: bool = True

    def may_repeat(self, method: str, path: str) -> bool:
        """Return whether a call of this API may be sent a second time."""
        return not any(rule.matches(method, path) for rule in self.non_idempotent)
