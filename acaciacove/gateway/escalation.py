"""Decides whether and when a request is escalated to a larger model."""

import asyncio

from acaciacove.gateway.choose_model import choose_next_model
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.metric import Metric
from acaciacove.gateway.request_context import RequestContext
from acaciacove.gateway.usable_endpoints import usable_endpoints

# Mean interval between two looks at the endpoints while an escalation is postponed, and
# its variation, without which all gateways would look at once after a common event.
POLL_S = 0.1
POLL_SPREAD = (0.5, 1.5)
# An escalation is postponed until this share of the latency target has passed; the rest
# is for the larger model's prompt.
MAX_POSTPONED_SHARE = 0.8


async def choose_escalation(
    gateway: Gateway, context: RequestContext, confidence: float
) -> str | None:
    """Return the model to escalate to, or None where the response is to be kept.

    Under overload control, a larger model that is worth its price but not the delay of
    the requests behind it is asked later, once endpoints have capacity. The smaller
    model's response is kept meanwhile, and delivered if there is none in time.
    """
    now_s = asyncio.get_running_loop().time()
    if not usable_endpoints(gateway, context, now_s):
        # An answer that is dropped with no endpoint left for another one is lost.
        return None
    chosen = choose_next_model(gateway, context, confidence, now_s)
    if chosen is not None or not gateway.settings.overload_control:
        return chosen
    if not _is_worth_price(gateway, context, confidence, now_s):
        return None
    chosen = await _wait_for_capacity(gateway, context, confidence)
    waited_s = asyncio.get_running_loop().time() - now_s
    outcome = "escalated" if chosen else "kept"
    gateway.metrics.count(Metric.ESCALATIONS_POSTPONED, outcome)
    gateway.log.write(
        Event.ESCALATION_POSTPONED,
        routine=True,
        request_id=context.request.hints.request_id,
        outcome=outcome,
        model=chosen,
        waited_s=round(waited_s, 3),
    )
    return chosen


def _is_worth_price(
    gateway: Gateway, context: RequestContext, confidence: float, now_s: float
) -> bool:
    """Return whether a larger model would be asked if nobody were delayed by it."""
    chosen = choose_next_model(gateway, context, confidence, now_s, count_delays=False)
    return chosen is not None


async def _wait_for_capacity(
    gateway: Gateway, context: RequestContext, confidence: float
) -> str | None:
    """Return the larger model once it is worth asking, None if it is not in time."""
    loop = asyncio.get_running_loop()
    until_s = (
        context.request.arrived_s + MAX_POSTPONED_SHARE * context.route.latency_target_s
    )
    while (now_s := loop.time()) < until_s:
        if not _is_worth_price(gateway, context, confidence, now_s):
            return None
        await asyncio.sleep(POLL_S * gateway.random.uniform(*POLL_SPREAD))
        now_s = loop.time()
        if not usable_endpoints(gateway, context, now_s):
            continue
        chosen = choose_next_model(gateway, context, confidence, now_s)
        if chosen is not None:
            return chosen
    return None
