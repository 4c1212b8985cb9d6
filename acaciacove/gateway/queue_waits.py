"""Estimated waits at a service's endpoints, and what more work there would delay."""

from attrs import frozen

from acaciacove.decisions.endpoint_backlog import baseline_wait_s
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
    recent report, ``has_reports`` is false.
    """

    endpoints: int
    mean_s: float
    min_s: float
    mean_delayed_requests: float = 0.0
    has_reports: bool = False


def queue_waits(gateway: Gateway, service: str, now_s: float) -> QueueWaits:
    """Return the waits of a service's endpoints, or of a sample of many."""
    endpoints = [
        endpoint
        for endpoint in gateway.view.endpoints.values()
        if endpoint.service == service and gateway.states.is_willing(endpoint, now_s)
    ]
    if not endpoints:
        return QueueWaits(0, 0.0, 0.0)
    sampled = endpoints
    if len(endpoints) > MAX_COMPARED:
        sampled = gateway.random.sample(endpoints, MAX_COMPARED)
    states = [gateway.states.of(endpoint) for endpoint in sampled]
    backlogs = [state.backlog for state in states]
    baseline_s = baseline_wait_s(backlogs, now_s)
    waits_s = [backlog.wait_s(now_s, baseline_s) for backlog in backlogs]
    return QueueWaits(
        len(endpoints),
        sum(waits_s) / len(waits_s),
        min(waits_s),
        _mean_delayed_requests(
            states,
            MAX_RUNNING_DELAY_SHARE * gateway.stream_time(service).slowdown(now_s),
            now_s,
        ),
        any(state.load.freshness(now_s) > 0.0 for state in states),
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
