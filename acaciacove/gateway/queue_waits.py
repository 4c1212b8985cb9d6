"""Estimated waits at a service's endpoints, and what more work there would delay."""

from attrs import evolve, frozen

from acaciacove.decisions.endpoint_backlog import baseline_wait_s
from acaciacove.gateway.catalogue.endpoint import Endpoint
from acaciacove.gateway.choice.endpoint_load import EndpointLoad
from acaciacove.gateway.choose_endpoint import MAX_COMPARED
from acaciacove.gateway.endpoint_state import EndpointState
from acaciacove.gateway.gateway import Gateway

# A running stream that is delayed by a second counts as up to this many waiting ones.
# Its first event is out; only its later events and its end are delayed. While streams
# run at their usual pace, such a delay goes unnoticed.
MAX_RUNNING_DELAY_SHARE = 0.4


@frozen
class QueueWaits:
    """Waits of a service's endpoints: the mean and the minimum.

    ``mean_delayed_requests`` is the mean number of requests at an endpoint that more
    work there delays: by recent reports, and those sent from here since. Without any
    recent report, ``has_reports`` is false. Both are for overload control and remain
    unset without it.
    """

    endpoints: int
    mean_s: float
    min_s: float
    mean_delayed_requests: float = 0.0
    has_reports: bool = False


def willing_endpoints(gateway: Gateway, service: str, now_s: float) -> list[Endpoint]:
    """Return the endpoints of a service that neither leave nor rest."""
    return [
        endpoint
        for endpoint in gateway.view.endpoints.values()
        if endpoint.service == service and gateway.states.is_willing(endpoint, now_s)
    ]


def sampled_states(gateway: Gateway, endpoints: list[Endpoint]) -> list[EndpointState]:
    """Return the states of endpoints, or of a sample of many."""
    if len(endpoints) > MAX_COMPARED:
        endpoints = gateway.random.sample(endpoints, MAX_COMPARED)
    return [gateway.states.of(endpoint) for endpoint in endpoints]


def estimated_waits_s(states: list[EndpointState], now_s: float) -> list[float]:
    """Return the estimated wait at each endpoint."""
    baseline_s = baseline_wait_s((state.backlog for state in states), now_s)
    return [state.backlog.wait_s(now_s, baseline_s) for state in states]


def queue_waits(gateway: Gateway, service: str, now_s: float) -> QueueWaits:
    """Return the waits of a service's endpoints, or of a sample of many."""
    endpoints = willing_endpoints(gateway, service, now_s)
    if not endpoints:
        return QueueWaits(0, 0.0, 0.0)
    states = sampled_states(gateway, endpoints)
    waits_s = estimated_waits_s(states, now_s)
    waits = QueueWaits(len(endpoints), sum(waits_s) / len(waits_s), min(waits_s))
    if not gateway.settings.overload_control:
        return waits
    slowdown = gateway.overload(service).streams.slowdown(now_s)
    running_share = MAX_RUNNING_DELAY_SHARE * slowdown
    return evolve(
        waits,
        mean_delayed_requests=_mean_delayed_requests(states, running_share, now_s),
        has_reports=any(state.load.freshness(now_s) > 0.0 for state in states),
    )


def _mean_delayed_requests(
    states: list[EndpointState], running_share: float, now_s: float
) -> float:
    """Return the mean of the reports, weighted by their freshness."""
    weights = [state.load.freshness(now_s) for state in states]
    total_weight = sum(weights)
    if total_weight <= 0.0:
        return 0.0
    delayed = (
        weight * _delayed_requests(state.load, running_share)
        for weight, state in zip(weights, states, strict=True)
    )
    return sum(delayed) / total_weight


def _delayed_requests(load: EndpointLoad, running_share: float) -> float:
    sent_since = max(0, load.in_flight - load.reported_local)
    reported = (load.waiting or 0) + running_share * (load.running or 0)
    return reported + sent_since
