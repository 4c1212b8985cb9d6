"""Learns how long a request waits for each one that an endpoint reports as waiting.

Answers a burst of long prompts: endpoints fill up within a second, faster than a
gateway that sees a few answers of each endpoint per second learns from waits alone. The
number of waiting requests comes with every response, also with quick ones.
"""

from attrs import define

# Wait for one waiting request until some have been observed.
PRIOR_S_PER_WAITING = 0.05
PRIOR_WAITING = 2.0
# Weight that older samples keep with each new one. The estimate covers about fifty
# responses.
DECAY = 0.98


@define
class QueueDelay:
    """The ratio of observed waits to reported waiting requests, for one service.

    The mix of prompts changes the ratio, so older samples are forgotten.
    """

    _waiting: float = PRIOR_WAITING
    _waits_s: float = PRIOR_WAITING * PRIOR_S_PER_WAITING

    def learn(self, waiting: int, wait_s: float) -> None:
        """Add a response: the requests reported as waiting, and its own wait."""
        if waiting <= 0:
            return
        self._waiting = DECAY * self._waiting + waiting
        self._waits_s = DECAY * self._waits_s + max(0.0, wait_s)

    @property
    def s_per_waiting(self) -> float:
        """Expected wait in seconds for each waiting request."""
        return self._waits_s / self._waiting
