"""How busy one endpoint is, as far as this gateway can tell."""

from collections.abc import Iterable

from attrs import define

# A reported load counts in full when it has just come and not at all after this
# long. Model requests last one to three seconds, so after this time the requests
# that were reported have mostly ended.
MAX_REPORT_AGE_S = 3.0
# What an endpoint of unknown load counts for, as a share of the usual load. At 0 slow
# endpoints look idle; at 1 gateways stay with those that they know.
UNKNOWN_LOAD_SHARE = 0.75


@define
class EndpointLoad:
    """Own requests under way and the endpoint's last report.

    ``reported`` is running plus waiting requests at the endpoint's last answer.
    """

    in_flight: int = 0
    reported: float = 0.0
    reported_local: int = 0
    reported_s: float = -1e9

    def apply_report(self, running: int, waiting: int, now_s: float) -> None:
        """Take a report that came with an answer."""
        self.reported = running + waiting
        self.reported_local = self.in_flight
        self.reported_s = now_s

    def freshness(self, now_s: float) -> float:
        """Return how far the last report still counts, from 0 to 1."""
        return max(0.0, 1.0 - (now_s - self.reported_s) / MAX_REPORT_AGE_S)

    @property
    def peer_requests(self) -> float:
        """Requests of others at the last report."""
        return max(0.0, self.reported - self.reported_local)

    def estimate(self, now_s: float, baseline: float = 0.0) -> float:
        """Return requests at the endpoint: own ones, and others by the report.

        As the report ages, others count as nearly as many as are ``baseline`` at
        endpoints. Slow endpoints answer seldom: taken for idle between reports, they
        would get more requests the busier they are.
        """
        freshness = self.freshness(now_s)
        unknown = UNKNOWN_LOAD_SHARE * baseline * (1.0 - freshness)
        return self.in_flight + self.peer_requests * freshness + unknown


def baseline_peer_requests(loads: Iterable[EndpointLoad], now_s: float) -> float:
    """Return how many requests of others endpoints have, by the fresh reports."""
    weighed = [(load.freshness(now_s), load.peer_requests) for load in loads]
    weight = sum(freshness for freshness, _ in weighed)
    if weight <= 0.0:
        return 0.0
    return (
        sum(freshness * peer_requests for freshness, peer_requests in weighed) / weight
    )
