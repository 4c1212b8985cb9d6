"""Decides whether and when a request is escalated to a larger model."""

import asyncio

from acaciacove.gateway.choose_model import choose_next_model
from acaciacove.gateway.exchange import Exchange
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.metric import Metric
from acaciacove.gateway.queue_waits import queue_waits
from acaciacove.gateway.request_context import RequestContext
from acaciacove.gateway.usable_endpoints import usable_endpoints

# Mean interval between two checks of the endpoints while an escalation is postponed,
# and its variation, without which all gateways would check at the same time.
POLL_S = 0.1
POLL_SPREAD = (0.5, 1.5)
# A shorter pause may be below the resolution of the clock, and would never end.
MIN_PAUSE_S = 0.001
# An escalation is postponed until this share of the latency target has passed, the rest
# being for the larger model's prompt, and until this share of the time to the deadline,
# the rest being for the whole answer of either model.
MAX_TARGET_SHARE = 0.8
MAX_DEADLINE_SHARE = 0.6
# At most one postponed escalation is sent per gateway in this time. All of them at once
# would fill the endpoints again before the first report shows it.
RELEASE_INTERVAL_S = 0.05


async def choose_escalation(
    gateway: Gateway, exchange: Exchange, confidence: float
) -> str | None:
    """Return the model to escalate to, or None where the response is to be kept.

    Under overload control, a larger model that is worth its price but not the delay of
    the requests behind it is asked later, once endpoints have capacity. The smaller
    model's response is kept meanwhile, and delivered if there is none in time.
    """
    context = exchange.context
    now_s = asyncio.get_running_loop().time()
    if not _may_send(gateway, exchange, now_s):
        return None
    chosen = choose_next_model(gateway, context, confidence, now_s)
    if chosen is not None or not gateway.settings.overload_control:
        return chosen
    if not _is_worth_without_delays(gateway, context, confidence, now_s):
        return None
    # The head was in time. Left pending, the answer would count as late evidence.
    exchange.record_evidence(False, now_s - exchange.sent_at_s)
    outcome = "cancelled"
    try:
        chosen = await _wait_for_capacity(gateway, exchange, confidence)
        outcome = "escalated" if chosen else "kept"
    finally:
        context.postponed_s = asyncio.get_running_loop().time() - now_s
        _record_postponed(gateway, context, outcome, chosen)
    return chosen


def _record_postponed(
    gateway: Gateway, context: RequestContext, outcome: str, model: str | None
) -> None:
    gateway.metrics.count(Metric.ESCALATIONS_POSTPONED, outcome)
    gateway.log.write(
        Event.ESCALATION_POSTPONED,
        routine=True,
        request_id=context.request.hints.request_id,
        outcome=outcome,
        model=model,
        waited_s=round(context.postponed_s, 3),
    )


def _may_send(gateway: Gateway, exchange: Exchange, now_s: float) -> bool:
    """Return whether limits leave an endpoint, and the budget one more attempt.

    Otherwise the caller would get neither answer. This request's own place at its
    endpoint does not count, since it is free once the smaller answer is dropped.
    """
    context = exchange.context
    if not gateway.has_retry_budget(context.service.name, now_s):
        return False
    load = exchange.state.load
    load.in_flight -= 1
    try:
        return bool(usable_endpoints(gateway, context, now_s))
    finally:
        load.in_flight += 1


def _is_worth_without_delays(
    gateway: Gateway, context: RequestContext, confidence: float, now_s: float
) -> bool:
    """Return whether a larger model would be asked if nobody were delayed by it."""
    chosen = choose_next_model(gateway, context, confidence, now_s, count_delays=False)
    return chosen is not None


async def _wait_for_capacity(
    gateway: Gateway, exchange: Exchange, confidence: float
) -> str | None:
    """Return the larger model once it is worth asking, None if it is not in time."""
    loop = asyncio.get_running_loop()
    context = exchange.context
    arrived_s = context.request.arrived_s
    until_s = arrived_s + min(
        MAX_TARGET_SHARE * context.route.latency_target_s,
        MAX_DEADLINE_SHARE * (context.deadline_s - arrived_s),
    )
    while (now_s := loop.time()) < until_s and _may_wait(gateway, exchange):
        pause_s = POLL_S * gateway.random.uniform(*POLL_SPREAD)
        await asyncio.sleep(max(MIN_PAUSE_S, min(pause_s, until_s - now_s)))
        now_s = loop.time()
        chosen = _choose_released(gateway, exchange, confidence, now_s)
        if chosen is not None:
            gateway.last_release_s = now_s
            return chosen
    return None


def _may_wait(gateway: Gateway, exchange: Exchange) -> bool:
    """Return whether the smaller answer is safe here and the process goes on."""
    connection = exchange.connection
    return (
        connection is not None
        and not connection.lost
        and not connection.is_reading_paused
        and not gateway.shutting_down
    )


def _choose_released(
    gateway: Gateway, exchange: Exchange, confidence: float, now_s: float
) -> str | None:
    """Return the model to ask now; None while endpoints have or report no capacity."""
    if now_s - gateway.last_release_s < RELEASE_INTERVAL_S:
        return None
    context = exchange.context
    queues = queue_waits(gateway, context.service.name, now_s)
    if not queues.has_reports:
        return None
    chosen = choose_next_model(gateway, context, confidence, now_s, queues=queues)
    if chosen is None or not _may_send(gateway, exchange, now_s):
        return None
    return chosen
