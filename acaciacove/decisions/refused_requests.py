"""Requests that were refused and told when to come back, for callers that retry."""

from heapq import heappop, heappush

from attrs import define, field

# Requests that are kept. A request beyond this counts as a new one when it returns.
MAX_REQUESTS = 8_192


@define
class RefusedRequests:
    """Refused requests until their deadlines, with the time at which they may return.

    ``returning_tokens`` is the work of those whose time to return has not come.
    """

    returning_tokens: float = 0.0
    _due_s: dict[int, float] = field(factory=dict)
    _returns: list[tuple[float, float]] = field(factory=list)
    _deadlines: list[tuple[float, int]] = field(factory=list)

    def record(self, key: int, tokens: float, due_s: float, deadline_s: float) -> None:
        """Record a refusal; the caller may return at ``due_s``, until its deadline."""
        if key in self._due_s:
            if due_s <= self._due_s[key]:
                return
        elif len(self._due_s) >= MAX_REQUESTS:
            return
        else:
            heappush(self._deadlines, (deadline_s, key))
        self._due_s[key] = due_s
        self.returning_tokens += tokens
        heappush(self._returns, (due_s, tokens))

    def is_known(self, key: int) -> bool:
        """Return whether a request was refused before and may still return."""
        return key in self._due_s

    def is_early(self, key: int, now_s: float) -> bool:
        """Return whether a request is repeated before its caller was to return."""
        return now_s < self._due_s.get(key, now_s)

    def remove_due(self, now_s: float) -> None:
        """Update ``returning_tokens`` and forget requests past their deadlines."""
        while self._returns and self._returns[0][0] <= now_s:
            self.returning_tokens -= heappop(self._returns)[1]
        while self._deadlines and self._deadlines[0][0] <= now_s:
            del self._due_s[heappop(self._deadlines)[1]]
