"""Observes the waits of a service's requests, for overload control."""

from acaciacove.decisions.unqueued_time import UnqueuedTime
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.request_context import RequestContext


def record_sent(
    gateway: Gateway, context: RequestContext, uncached_tokens: float, now_s: float
) -> int:
    """Record that a request is sent; return its number, 0 without overload control.

    ``uncached_tokens`` is the part of its prompt that the endpoint has to process.
    """
    if not gateway.settings.overload_control:
        return 0
    number = gateway.next_exchange_number()
    unqueued_s = _unqueued_s(gateway, context, uncached_tokens)
    gateway.overload(context.service.name).waits.send(number, unqueued_s, now_s)
    return number


def record_head(
    gateway: Gateway, context: RequestContext, number: int, took_s: float, now_s: float
) -> None:
    """Record the head of a successful response, which took ``took_s``."""
    if not number:
        return
    state = gateway.overload(context.service.name)
    state.waits.record_head(number, now_s)
    if context.request.hints.prompt is None:
        times = state.unqueued_times
        times.setdefault(context.route.name, UnqueuedTime()).learn(took_s, now_s)


def record_end(
    gateway: Gateway, context: RequestContext, number: int, now_s: float
) -> None:
    """Record the end of an exchange, which may have had no successful response."""
    if number:
        gateway.overload(context.service.name).waits.discard(number, now_s)


def _unqueued_s(
    gateway: Gateway, context: RequestContext, uncached_tokens: float
) -> float:
    """Return the expected time to the response head on an endpoint without a queue."""
    if context.request.hints.prompt is not None:
        prefill = gateway.prefill_latency(context.service.name, context.model)
        return prefill.predict_s(uncached_tokens)
    times = gateway.overload(context.service.name).unqueued_times
    known = times.get(context.route.name)
    if known is None or known.estimate_s is None:
        return context.route.latency_target_s
    return known.estimate_s
