"""What this gateway has learnt about one endpoint from its own traffic."""

from attrs import define

# An endpoint is left out after this many failures in a row: one may be chance (a
# reset of a single connection), three are not.
MAX_CONSECUTIVE_FAILURES = 3
BASE_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
# Beyond this many in a row the pause grows no more.
MAX_BACKOFF_EXPONENT = 16
# A share of failures over the last answers above which an endpoint that answers
# some requests well is left out too; the memory fades with each answer.
MAX_FAILURE_SHARE = 0.35
DECAY_PER_RESPONSE = 0.9
MIN_RESPONSES_WEIGHT = 4.0


@define
class EndpointHealth:
    """Failures of one endpoint, and until when it is left out.

    ``disconnected_s`` is when a connection to it last broke or could not be made.
    """

    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0
    disconnected_s: float = -1e9
    responses_weight: float = 0.0
    failures_weight: float = 0.0

    def count_success(self) -> None:
        """Note an answer as it should be."""
        self.consecutive_failures = 0
        self.ejections = max(0, self.ejections - 1)
        self._decay(0.0)

    def count_failure(self, now_s: float, disconnected: bool) -> bool:
        """Note a failure; tells whether the endpoint is left out from now on."""
        self.consecutive_failures += 1
        if disconnected:
            self.disconnected_s = now_s
        self._decay(1.0)
        is_bad = (
            self.responses_weight >= MIN_RESPONSES_WEIGHT
            and self.failures_weight > MAX_FAILURE_SHARE * self.responses_weight
        )
        if self.consecutive_failures < MAX_CONSECUTIVE_FAILURES and not is_bad:
            return False
        pause_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**self.ejections)
        self.ejections = min(self.ejections + 1, MAX_BACKOFF_EXPONENT)
        self.consecutive_failures = 0
        self.ejected_until_s = now_s + pause_s
        return True

    def _decay(self, failure: float) -> None:
        self.responses_weight = self.responses_weight * DECAY_PER_RESPONSE + 1.0
        self.failures_weight = self.failures_weight * DECAY_PER_RESPONSE + failure

    def is_ejected(self, now_s: float) -> bool:
        """Tell whether the endpoint is left out for now."""
        return now_s < self.ejected_until_s
