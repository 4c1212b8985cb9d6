"""Health of one endpoint, as seen in this gateway's traffic to it."""

from attrs import define

# An endpoint is ejected after this many consecutive failures: one may be chance, such
# as the reset of a single connection, three are not.
MAX_CONSECUTIVE_FAILURES = 3
BASE_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
# Beyond this many ejections in a row the back-off grows no further: the power of two
# would exceed the range of a float.
MAX_BACKOFF_EXPONENT = 16
# Share of failures among recent responses above which an endpoint is ejected, even if
# it answers some requests successfully. Older responses lose weight with each new one.
MAX_FAILURE_SHARE = 0.35
DECAY_PER_RESPONSE = 0.9
MIN_RESPONSES_WEIGHT = 4.0


@define
class EndpointHealth:
    """Failures of one endpoint, and until when it is ejected.

    ``disconnected_s`` is when a connection to it last broke or could not be made.
    """

    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0
    disconnected_s: float = -1e9
    responses_weight: float = 0.0
    failures_weight: float = 0.0

    def count_success(self) -> None:
        """Record a success."""
        self.consecutive_failures = 0
        self.ejections = max(0, self.ejections - 1)
        self._decay(0.0)

    def count_failure(self, now_s: float, disconnected: bool) -> bool:
        """Record a failure; return whether it ejects the endpoint."""
        self.consecutive_failures += 1
        if disconnected:
            self.disconnected_s = now_s
        self._decay(1.0)
        is_failing = (
            self.responses_weight >= MIN_RESPONSES_WEIGHT
            and self.failures_weight > MAX_FAILURE_SHARE * self.responses_weight
        )
        if self.consecutive_failures < MAX_CONSECUTIVE_FAILURES and not is_failing:
            return False
        ejection_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**self.ejections)
        self.ejections = min(self.ejections + 1, MAX_BACKOFF_EXPONENT)
        self.consecutive_failures = 0
        self.ejected_until_s = now_s + ejection_s
        return True

    def _decay(self, failure: float) -> None:
        self.responses_weight = self.responses_weight * DECAY_PER_RESPONSE + 1.0
        self.failures_weight = self.failures_weight * DECAY_PER_RESPONSE + failure

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the endpoint is ejected now."""
        return now_s < self.ejected_until_s
