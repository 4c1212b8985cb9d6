"""The rate that one endpoint says it takes from all gateways together."""

from attrs import define, field

# Over which time a gateway keeps to its share; longer for a rate so low that not even
# one request falls into it.
MIN_WINDOW_S = 4.0
MAX_WINDOW_S = 20.0
# A request is counted where it arrives: some take longer on the way than others.
WINDOW_MARGIN_S = 0.15
# A limit that neither an answer nor another gateway has confirmed for this long is
# forgotten: the endpoint may have lifted it while nobody asked.
LIMIT_EXPIRY_S = 30.0
# A change of the rate by less is no news.
MIN_CHANGE_SHARE = 0.2
# Rounding of a product must not cost a request.
ROUNDING = 1e-6


@define(eq=False)
class StatedLimit:
    """The last word on an endpoint's limit, and what this gateway sent under it.

    ``per_s`` is None without a limit. ``seen_s`` is when the answer came that said so,
    here or at another gateway.
    """

    per_s: float | None = None
    seen_s: float = float("-inf")
    _sent: list[float] = field(factory=list)
    _reserved: int = 0

    def apply_response(self, per_s: float | None, sent_s: float, now_s: float) -> bool:
        """Take what an answer says or leaves out; tells whether that is news.

        An answer to what was asked before the limit was last seen may have been
        made before it was set, and does not lift it.
        """
        if per_s is None and (self.per_s is None or sent_s < self.seen_s):
            return False
        return self._set(per_s, now_s)

    def apply_gossip(self, per_s: float | None, seen_s: float) -> bool:
        """Take another gateway's word, if it is newer; tells whether that is news."""
        return seen_s > self.seen_s and self._set(per_s, seen_s)

    def _set(self, per_s: float | None, seen_s: float) -> bool:
        before, self.per_s, self.seen_s = self.per_s, per_s, seen_s
        if before is None or per_s is None:
            return before is not per_s
        return abs(per_s - before) > MIN_CHANGE_SHARE * before

    def is_set(self, now_s: float) -> bool:
        """Tell whether the endpoint has a limit now."""
        if self.per_s is not None and now_s - self.seen_s > LIMIT_EXPIRY_S:
            self.per_s = None
        return self.per_s is not None

    @property
    def window_s(self) -> float:
        """The time over which sent requests are counted."""
        if not self.per_s:
            return MAX_WINDOW_S
        return min(MAX_WINDOW_S, max(MIN_WINDOW_S, 1.0 / self.per_s))

    @property
    def per_window(self) -> int:
        """How many requests all gateways together may send in a window."""
        return int((self.per_s or 0.0) * self.window_s + ROUNDING)

    def allows(self, now_s: float, share: int) -> bool:
        """Tell whether one more of this gateway's ``share`` may be sent now."""
        self._expire(now_s)
        return len(self._sent) + self._reserved + 1 <= share

    def next_slot_in_s(self, now_s: float, share: int) -> float | None:
        """Return when the next request may be sent; None where none ever may."""
        if share < 1:
            return None
        self._expire(now_s)
        if len(self._sent) < share:
            return 0.0
        return self._sent[-share] + self.window_s + WINDOW_MARGIN_S - now_s

    def reserve(self) -> None:
        """Keep a place for a request whose connection is being made."""
        self._reserved += 1

    def release(self) -> None:
        """Give a place back: its request is sent, or will not be."""
        self._reserved -= 1

    def count(self, now_s: float) -> None:
        """Count a request that is sent, while there is a limit."""
        if self.per_s is not None:
            self._sent.append(now_s)

    def _expire(self, now_s: float) -> None:
        since_s = now_s - self.window_s - WINDOW_MARGIN_S
        while self._sent and self._sent[0] <= since_s:
            del self._sent[0]
