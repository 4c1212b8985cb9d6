"""The rate that one endpoint says it takes from all gateways together."""

from attrs import define


@define(eq=False)
class StatedLimit:
    """The last word on an endpoint's limit; ``per_s`` is None without one.

    ``seen_s`` is when the answer came that said so, here or at another gateway.
    """

    per_s: float | None = None
    seen_s: float = float("-inf")

    def hear(self, per_s: float | None, asked_s: float, now_s: float) -> bool:
        """Take what an answer says or leaves out; tells whether that is news.

        An answer to what was asked before the limit was last seen may have been
        made before it was set, and does not lift it.
        """
        if per_s is None and (self.per_s is None or asked_s < self.seen_s):
            return False
        is_news = per_s != self.per_s
        self.per_s, self.seen_s = per_s, now_s
        return is_news
