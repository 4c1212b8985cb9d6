"""Counts of callers' requests and refusals, in bounded memory."""

from collections import Counter, OrderedDict

from acaciacove.gateway.choice.sliding_window_counter import SlidingWindowCounter
from acaciacove.reason import Reason

# Long enough for a rate of a few requests per second to be steady, short enough to show
# a burst.
RATE_WINDOW_S = 10.0
RATE_BUCKET_S = 0.1
# Catalogues hold tens of services. The one without a request for the longest time is
# dropped first, so that catalogues with ever new names do not fill the memory.
MAX_SERVICES = 256
# Counters of organisations, of which REPORTED_ORGANISATIONS are reported.
MAX_ORGANISATIONS = 256
REPORTED_ORGANISATIONS = 20


class ServiceTraffic:
    """Requests to one service, and refusals by reason since the start."""

    def __init__(self) -> None:
        """Start without requests."""
        self.requests = SlidingWindowCounter(RATE_WINDOW_S, RATE_BUCKET_S)
        self.refusals: Counter[Reason] = Counter()


class Traffic:
    """Requests and refusals of one gateway, by service.

    ``unrouted_refusals`` counts refusals of requests for which no service was found.
    """

    def __init__(self) -> None:
        """Start without requests."""
        self.unrouted_refusals: Counter[Reason] = Counter()
        self._services: OrderedDict[str, ServiceTraffic] = OrderedDict()
        self._overload_refusals: Counter[str] = Counter()

    def count_request(self, service: str, now_s: float) -> None:
        """Count one request of a caller to a service."""
        traffic = self._services.setdefault(service, ServiceTraffic())
        self._services.move_to_end(service)
        traffic.requests.add(now_s)
        if len(self._services) > MAX_SERVICES:
            self._services.popitem(last=False)

    def count_refusal(
        self, reason: Reason, service: str | None, organisation: str | None
    ) -> None:
        """Count one refusal; ``service`` is None if none was found."""
        traffic = self._services.get(service) if service is not None else None
        refusals = traffic.refusals if traffic else self.unrouted_refusals
        refusals[reason] += 1
        if reason is Reason.OVERLOADED and organisation is not None:
            self._count_organisation(organisation)

    def _count_organisation(self, name: str) -> None:
        """Count an overload refusal; a new name replaces the lowest counter when full.

        The replacement continues the replaced count, so that an organisation with many
        refusals is never displaced by many with few. A count may thus be too high by
        at most the lowest counter.
        """
        counts = self._overload_refusals
        if name not in counts and len(counts) >= MAX_ORGANISATIONS:
            lowest = min(counts, key=counts.__getitem__)
            counts[name] = counts.pop(lowest)
        counts[name] += 1

    @property
    def services(self) -> frozenset[str]:
        """Names of the services with requests."""
        return frozenset(self._services)

    def requests_per_s(self, service: str, now_s: float, uptime_s: float) -> float:
        """Return the rate of requests to a service.

        It is the mean of the last ``RATE_WINDOW_S``, or of ``uptime_s`` if the gateway
        has run for a shorter time, but of at least a second.
        """
        traffic = self._services.get(service)
        if traffic is None:
            return 0.0
        window_s = min(RATE_WINDOW_S, max(1.0, uptime_s))
        return traffic.requests.total(now_s) / window_s

    def refusals(self, service: str) -> dict[str, int]:
        """Return the refusals of a service by reason, the most frequent first."""
        traffic = self._services.get(service)
        return by_reason(traffic.refusals) if traffic else {}

    def overload_refusals(self) -> dict[str, int]:
        """Return the organisations with the most overload refusals, highest first."""
        return dict(self._overload_refusals.most_common(REPORTED_ORGANISATIONS))


def by_reason(refusals: Counter[Reason]) -> dict[str, int]:
    """Return counts by the name of the reason, the most frequent first."""
    return {reason.value: count for reason, count in refusals.most_common()}
