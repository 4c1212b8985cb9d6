"""Health of one endpoint, as seen in this gateway's own traffic."""

from attrs import define

# An endpoint is ejected after this many consecutive failures: one may be chance, such
# as the reset of a single connection, three are not.
FAILURES_IN_A_ROW = 3
FIRST_EJECTION_S = 0.5
LONGEST_EJECTION_S = 4.0
# Beyond this many ejections in a row the back-off grows no further: the power of two
# would exceed the range of a float.
MOST_EJECTIONS = 16
# Share of failures among recent responses above which an endpoint is ejected, even if
# it answers some requests successfully. Older responses lose weight with each new one.
BAD_SHARE = 0.35
SHARE_MEMORY = 0.9
SHARE_MINIMUM_WEIGHT = 4.0


@define
class EndpointHealth:
    """Failures of one endpoint, and until when it is ejected.

    ``disconnected_s`` is when a connection to it last broke or could not be made.
    """

    failures_in_a_row: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0
    broken_s: float = -1e9
    answers_weight: float = 0.0
    failures_weight: float = 0.0

    def count_success(self) -> None:
        """Record a success."""
        self.failures_in_a_row = 0
        self.ejections = max(0, self.ejections - 1)
        self._fade(0.0)

    def count_failure(self, now_s: float, broken: bool) -> bool:
        """Record a failure; return whether it ejects the endpoint."""
        self.failures_in_a_row += 1
        if broken:
            self.broken_s = now_s
        self._fade(1.0)
        is_bad = (
            self.answers_weight >= SHARE_MINIMUM_WEIGHT
            and self.failures_weight > BAD_SHARE * self.answers_weight
        )
        if self.failures_in_a_row < FAILURES_IN_A_ROW and not is_bad:
            return False
        pause_s = min(LONGEST_EJECTION_S, FIRST_EJECTION_S * 2**self.ejections)
        self.ejections = min(self.ejections + 1, MOST_EJECTIONS)
        self.failures_in_a_row = 0
        self.ejected_until_s = now_s + pause_s
        return True

    def _fade(self, failure: float) -> None:
        self.answers_weight = self.answers_weight * SHARE_MEMORY + 1.0
        self.failures_weight = self.failures_weight * SHARE_MEMORY + failure

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the endpoint is ejected now."""
        return now_s < self.ejected_until_s
