"""Load of one endpoint, estimated from local requests and its reports."""

from collections.abc import Iterable

from attrs import define

# A load report has full weight on arrival and none after this time. Model requests take
# one to three seconds, so most of the reported ones have ended by then.
MAX_REPORT_AGE_S = 3.0
# Assumed load from peers at an endpoint without a recent report, as a share of the
# baseline. At 0 slow endpoints look idle; at 1 gateways keep to those that they know.
UNKNOWN_LOAD_SHARE = 0.75


@define
class EndpointLoad:
    """Local requests in flight and the endpoint's last report.

    ``reported`` is the number of running and waiting requests at the last report, and
    ``reported_local`` that of local requests in flight at that time. ``running`` and
    ``waiting`` are None before the first report.
    """

    in_flight: int = 0
    reported: float = 0.0
    reported_local: int = 0
    reported_s: float = -1e9
    running: int | None = None
    waiting: int | None = None

    def apply_report(self, running: int, waiting: int, now_s: float) -> None:
        """Apply a report that came with a response."""
        self.running, self.waiting = running, waiting
        self.reported = running + waiting
        self.reported_local = self.in_flight
        self.reported_s = now_s

    def freshness(self, now_s: float) -> float:
        """Return the weight of the last report, from 0 to 1."""
        return max(0.0, 1.0 - (now_s - self.reported_s) / MAX_REPORT_AGE_S)

    @property
    def peer_requests(self) -> float:
        """Requests of other gateways at the last report."""
        return max(0.0, self.reported - self.reported_local)

    def estimate(self, now_s: float, baseline: float = 0.0) -> float:
        """Return the estimated requests at the endpoint, local ones and those of peers.

        As the report ages, the requests of peers approach a share of the ``baseline``
        of all endpoints. Slow endpoints respond seldom: if they counted as idle between
        reports, they would get more requests the busier they are.
        """
        freshness = self.freshness(now_s)
        unknown = UNKNOWN_LOAD_SHARE * baseline * (1.0 - freshness)
        return self.in_flight + self.peer_requests * freshness + unknown


def baseline_peer_requests(loads: Iterable[EndpointLoad], now_s: float) -> float:
    """Return the mean requests of peers per endpoint, weighted by report freshness."""
    reports = [(load.freshness(now_s), load.peer_requests) for load in loads]
    total_weight = sum(freshness for freshness, _ in reports)
    if total_weight <= 0.0:
        return 0.0
    return (
        sum(freshness * peer_requests for freshness, peer_requests in reports)
        / total_weight
    )
