"""Records how an attempt ended, for an endpoint's health and for roll-outs."""

import asyncio

from acaciacove.gateway.attempt_outcome import AttemptOutcome
from acaciacove.gateway.endpoint_state import EndpointState
from acaciacove.gateway.exchange import Exchange
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.metric import Metric


def record_failure(
    gateway: Gateway, state: EndpointState, outcome: AttemptOutcome, detail: str
) -> None:
    """Count a failure of an endpoint, which may eject it for a while."""
    now_s = asyncio.get_running_loop().time()
    broken = outcome in (
        AttemptOutcome.NOT_SENT,
        AttemptOutcome.LOST,
        AttemptOutcome.BROKEN,
    )
    if state.health.count_failure(now_s, broken):
        gateway.metrics.count(Metric.EJECTIONS)
        gateway.log.write(
            Event.ENDPOINT_EJECTED,
            endpoint=state.endpoint.instance,
            until_s=round(state.health.ejected_until_s - now_s, 3),
            outcome=outcome.value,
            detail=detail,
        )


def record_result(
    gateway: Gateway, exchange: Exchange, failed: bool, first_chunk_s: float | None
) -> None:
    """Record a result for the endpoint's health and as evidence for a roll-out."""
    state = exchange.state
    if failed:
        record_failure(gateway, state, AttemptOutcome.FAILED, "failure answer")
    else:
        state.health.count_success()
    exchange.record_evidence(failed, first_chunk_s)
