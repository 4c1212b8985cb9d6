"""What this gateway has learnt about one endpoint from its own traffic."""

from attrs import define

# An endpoint is left out after this many failures in a row: one may be chance (a
# reset of a single connection), three are not.
FAILURES_IN_A_ROW = 3
FIRST_EJECTION_S = 0.5
LONGEST_EJECTION_S = 4.0
# Beyond this many in a row the pause grows no more.
MOST_EJECTIONS = 16
# A share of failures over the last answers above which an endpoint that answers
# some requests well is left out too; the memory fades with each answer.
BAD_SHARE = 0.35
SHARE_MEMORY = 0.9
SHARE_MINIMUM_WEIGHT = 4.0


@define
class EndpointHealth:
    """Failures of one endpoint, and until when it is left out.

    ``broken_s`` is when a connection to it last broke or could not be made.
    """

    failures_in_a_row: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0
    broken_s: float = -1e9
    answers_weight: float = 0.0
    failures_weight: float = 0.0

    def count_success(self) -> None:
        """Note an answer as it should be."""
        self.failures_in_a_row = 0
        self.ejections = max(0, self.ejections - 1)
        self._fade(0.0)

    def count_failure(self, now_s: float, broken: bool) -> bool:
        """Note a failure; tells whether the endpoint is left out from now on."""
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
        """Tell whether the endpoint is left out for now."""
        return now_s < self.ejected_until_s
