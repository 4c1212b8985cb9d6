"""Overload control: refuses requests that a service has no capacity for."""

from statistics import median
from time import time

from acaciacove.decisions.admission_request import AdmissionRequest
from acaciacove.decisions.head_waits import MAX_FACTOR
from acaciacove.decisions.refusal_cause import RefusalCause
from acaciacove.decisions.retry_after import drain_time_s, retry_after_s
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.metric import Metric
from acaciacove.gateway.overload_refusal import OverloadRefusal
from acaciacove.gateway.overload_state import OverloadState
from acaciacove.gateway.queue_waits import (
    estimated_waits_s,
    sampled_states,
    willing_endpoints,
)
from acaciacove.gateway.request_context import RequestContext
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal

# The work of a request without a prompt.
PLAIN_TOKENS = 1.0
# Equal requests get equal decisions at all gateways for this long. Without an end, some
# would be refused throughout an overload; it is far longer than clocks differ.
KEY_PERIOD_S = 30.0
DETAILS = {
    RefusalCause.LEVEL: "the service is overloaded",
    RefusalCause.DEADLINE: "no endpoint can respond before the deadline",
}


def refuse_overloaded(
    gateway: Gateway, context: RequestContext, now_s: float
) -> Refusal | None:
    """Return the refusal of a new request, or None if it may be sent.

    It is called once per request, before its first attempt. Retries, larger models and
    resumed streams belong to a request that has been admitted.
    """
    if not gateway.settings.overload_control:
        return None
    state = gateway.overload(context.service.name)
    state.record_route(context.route, now_s)
    if state.level.is_due(now_s):
        _adjust_level(gateway, context, state, now_s)
    request = _admission_request(context, now_s)
    if _is_too_late(gateway, context, state, request):
        cause = RefusalCause.DEADLINE
    elif not state.level.admits(request, now_s):
        cause = RefusalCause.LEVEL
    else:
        state.usual_target.learn(context.route.latency_target_s)
        return None
    context.overload_refusal = _describe_refusal(state, cause, now_s)
    gateway.metrics.count(Metric.OVERLOAD_REFUSALS, cause.value)
    after_s = _retry_after_s(gateway, state, request, now_s)
    return Refusal(Reason.OVERLOADED, True, DETAILS[cause], after_s)


def _admission_request(context: RequestContext, now_s: float) -> AdmissionRequest:
    prompt = context.request.hints.prompt
    return AdmissionRequest(
        key=context.fingerprint + int(time() / KEY_PERIOD_S),
        priority=context.priority,
        organisation=context.organisation.name if context.organisation else "",
        route=context.route.name,
        tokens=max(PLAIN_TOKENS, prompt.input_tokens) if prompt else PLAIN_TOKENS,
        remaining_s=context.deadline_s - now_s,
        time_s=context.route.timeout_s,
    )


def _adjust_level(
    gateway: Gateway, context: RequestContext, state: OverloadState, now_s: float
) -> None:
    """Adjust the level to the waits of this moment; log a change.

    Predicted waits of endpoints count as far as observed waits confirm them: endpoints
    that read several prompts at a time have shorter waits than predicted. Their median
    keeps an endpoint that is stuck from counting as an overload of the service.
    """
    wait_s = state.waits.wait_s(now_s)
    state.min_wait_s = 0.0
    predicted_s = _endpoint_waits_s(gateway, context, now_s)
    if predicted_s and wait_s is not None:
        confirmed_s = wait_s * MAX_FACTOR
        state.min_wait_s = min(*predicted_s, confirmed_s)
        wait_s = max(wait_s, min(median(predicted_s), confirmed_s))
    level = state.level
    has_larger_models = bool(context.service.model_costs)
    level.adjust(wait_s, state.latency_targets_s(now_s), now_s, has_larger_models)
    if level.level == state.logged_level:
        return
    state.logged_level = level.level
    gateway.log.write(
        Event.ADMISSION_LEVEL,
        routine=True,
        service=context.service.name,
        level=level.level,
        wait_s=round(level.wait_s, 3),
        limit_s=round(level.limit_s, 3),
        wait_age_s=_rounded(state.waits.age_s(now_s)),
    )


def _endpoint_waits_s(
    gateway: Gateway, context: RequestContext, now_s: float
) -> list[float]:
    """Return the estimated waits of a service's endpoints, none for a plain service."""
    if not context.service.model_costs:
        return []
    endpoints = willing_endpoints(gateway, context.service.name, now_s)
    return estimated_waits_s(sampled_states(gateway, endpoints), now_s)


def _is_too_late(
    gateway: Gateway,
    context: RequestContext,
    state: OverloadState,
    request: AdmissionRequest,
) -> bool:
    """Return whether every endpoint's queue outlasts the request's deadline.

    Without queues, a short deadline is the caller's choice and is left to the endpoint.
    """
    if state.min_wait_s <= 0.0:
        return False
    prefill = gateway.prefill_latency(context.service.name, context.model)
    return state.min_wait_s + prefill.predict_s(0.0) > request.remaining_s


def _retry_after_s(
    gateway: Gateway, state: OverloadState, request: AdmissionRequest, now_s: float
) -> float:
    level = state.level
    drain_s = drain_time_s(
        level.wait_s, level.refused.returning_tokens, level.free_per_s
    )
    jitter = gateway.random.random()
    after_s = retry_after_s(drain_s, request.remaining_s, jitter)
    deadline_s = now_s + request.remaining_s
    level.refused.record(request.key, request.tokens, now_s + after_s, deadline_s)
    return after_s


def _describe_refusal(
    state: OverloadState, cause: RefusalCause, now_s: float
) -> OverloadRefusal:
    return OverloadRefusal(
        cause=cause,
        level=state.level.level,
        wait_s=round(state.level.wait_s, 3),
        wait_age_s=_rounded(state.waits.age_s(now_s)),
    )


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)
