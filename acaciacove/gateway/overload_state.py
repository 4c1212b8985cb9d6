"""What overload control knows of one service."""

from attrs import define, field, frozen

from acaciacove.decisions.admission_level import AdmissionLevel
from acaciacove.decisions.head_waits import HeadWaits
from acaciacove.decisions.queue_delay import QueueDelay
from acaciacove.decisions.stream_time import StreamTime
from acaciacove.decisions.unqueued_time import UnqueuedTime
from acaciacove.decisions.usual_target import UsualTarget
from acaciacove.gateway.catalogue.route import Route

# A route is in use for this long after a request. Shorter than that, the limit of the
# waits would change with each request of a route that is seldom called.
ROUTE_IN_USE_S = 10.0


@frozen
class RouteUse:
    """The latency target of a route, and when it was last requested."""

    latency_target_s: float
    requested_at_s: float


@define
class OverloadState:
    """Admission level and waits of one service, in this gateway's memory only.

    ``queue_delay`` is the wait for each waiting request of the endpoints, ``streams``
    the duration of streams, and ``usual_target`` that of the admitted requests.
    ``unqueued_times`` are those of plain requests by route. ``min_wait_s`` is the
    shortest wait of all endpoints at the last adjustment, ``logged_level`` the level of
    the last log line.
    """

    level: AdmissionLevel = field(factory=AdmissionLevel)
    waits: HeadWaits = field(factory=HeadWaits)
    queue_delay: QueueDelay = field(factory=QueueDelay)
    streams: StreamTime = field(factory=StreamTime)
    usual_target: UsualTarget = field(factory=UsualTarget)
    unqueued_times: dict[str, UnqueuedTime] = field(factory=dict)
    routes: dict[str, RouteUse] = field(factory=dict)
    min_wait_s: float = 0.0
    logged_level: int = 0

    def record_route(self, route: Route, now_s: float) -> None:
        """Record that a route is in use."""
        self.routes[route.name] = RouteUse(route.latency_target_s, now_s)

    def latency_targets_s(self, now_s: float) -> list[float]:
        """Return the latency targets of the routes in use; forget the other routes."""
        self.routes = {
            name: use
            for name, use in self.routes.items()
            if now_s - use.requested_at_s <= ROUTE_IN_USE_S
        }
        return [use.latency_target_s for use in self.routes.values()]
