"""What one endpoint has asked of this gateway in its responses."""

from attrs import define


@define(eq=False)
class EndpointNotice:
    """What one incarnation of an endpoint has asked for; it holds until that one ends.

    ``leaving`` is set once it has announced its departure. It wants no requests before
    ``resting_until_s``, on the runtime's clock.
    """

    leaving: bool = False
    resting_until_s: float = float("-inf")

    def record_leaving(self) -> bool:
        """Record that the endpoint leaves; return whether this is new."""
        is_new = not self.leaving
        self.leaving = True
        return is_new

    def record_rest(self, rest_s: float, now_s: float) -> bool:
        """Record a rest; return whether the endpoint was not resting before.

        A shorter rest that is asked for meanwhile does not end a longer one.
        """
        is_new = not self.is_resting(now_s)
        self.resting_until_s = max(self.resting_until_s, now_s + rest_s)
        return is_new

    def is_resting(self, now_s: float) -> bool:
        """Return whether the endpoint wants no requests now."""
        return self.rest_left_s(now_s) > 0.0

    def rest_left_s(self, now_s: float) -> float:
        """Return for how long the endpoint wants no requests, 0 if it wants some."""
        return max(0.0, self.resting_until_s - now_s)
