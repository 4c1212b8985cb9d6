"""The rate limit that one endpoint states for all gateways together."""

from attrs import define, field

# Window over which a gateway stays within its share; longer for a rate at which the
# shortest window holds less than one request.
MIN_WINDOW_S = 4.0
MAX_WINDOW_S = 20.0
# Sent requests are counted at sending, and the endpoint counts them at arrival: some
# take longer on the way than others.
WINDOW_MARGIN_S = 0.15
# A limit that neither a response nor a peer has confirmed for this long expires: the
# endpoint may have lifted it while no request was sent to it.
LIMIT_EXPIRY_S = 30.0
# A smaller relative change of the rate does not count as a change.
MIN_CHANGE_SHARE = 0.2
# A higher rate is a fault, and limits nothing. The number of requests in a window is a
# whole number, which an infinite product cannot be converted to.
MAX_RATE_PER_S = 1e9
# Keeps rounding errors of the product from costing a request.
ROUNDING = 1e-6


@define(eq=False)
class StatedLimit:
    """The last stated limit of an endpoint, and the requests sent under it.

    ``per_s`` is None without a limit. ``seen_s`` is when the response that stated it
    arrived, here or at a peer.
    """

    per_s: float | None = None
    seen_s: float = float("-inf")
    _sent: list[float] = field(factory=list)
    _reserved: int = 0

    def apply_response(self, per_s: float | None, sent_s: float, now_s: float) -> bool:
        """Apply a response's limit, None for no limit; return whether it changed.

        A response to a request that was sent before the limit was last seen may have
        been produced before the limit was set, and does not lift it.
        """
        if per_s is None and (self.per_s is None or sent_s < self.seen_s):
            return False
        return self._set(per_s, now_s)

    def apply_gossip(self, per_s: float | None, seen_s: float) -> bool:
        """Apply a peer's update if it is newer; return whether the limit changed."""
        return seen_s > self.seen_s and self._set(per_s, seen_s)

    def _set(self, per_s: float | None, seen_s: float) -> bool:
        previous, self.per_s, self.seen_s = self.per_s, per_s, seen_s
        if previous is None or per_s is None:
            return previous is not per_s
        return abs(per_s - previous) > MIN_CHANGE_SHARE * previous

    def is_set(self, now_s: float) -> bool:
        """Return whether the endpoint has a limit now."""
        if self.per_s is not None and now_s - self.seen_s > LIMIT_EXPIRY_S:
            self.per_s = None
        return self.per_s is not None

    @property
    def window_s(self) -> float:
        """The window over which sent requests are counted."""
        if not self.per_s:
            return MAX_WINDOW_S
        return min(MAX_WINDOW_S, max(MIN_WINDOW_S, 1.0 / self.per_s))

    @property
    def per_window(self) -> int:
        """The number of requests that all gateways together may send in a window."""
        return int((self.per_s or 0.0) * self.window_s + ROUNDING)

    def allows(self, now_s: float, share: int) -> bool:
        """Return whether this gateway's ``share`` allows one more request now."""
        self._expire(now_s)
        return len(self._sent) + self._reserved + 1 <= share

    def next_slot_in_s(self, now_s: float, share: int) -> float | None:
        """Return the seconds until a request may be sent; None if it never may."""
        if share < 1:
            return None
        self._expire(now_s)
        if len(self._sent) < share:
            return 0.0
        return self._sent[-share] + self.window_s + WINDOW_MARGIN_S - now_s

    def reserve(self) -> None:
        """Reserve a place for a request whose connection is being made."""
        self._reserved += 1

    def release(self) -> None:
        """Release a reserved place: its request is sent, or will not be."""
        self._reserved -= 1

    def count(self, now_s: float) -> None:
        """Count a sent request, if there is a limit."""
        if self.per_s is not None:
            self._sent.append(now_s)

    def _expire(self, now_s: float) -> None:
        window_start_s = now_s - self.window_s - WINDOW_MARGIN_S
        while self._sent and self._sent[0] <= window_start_s:
            del self._sent[0]
