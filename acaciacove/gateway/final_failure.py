"""What a caller gets for a request that no endpoint has served."""

from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.http.response_head import ResponseHead
from acaciacove.gateway.refuse import NOT_RUN_STATUSES
from acaciacove.gateway.request_context import RequestContext
from acaciacove.gateway.usable_endpoints import next_slot_in_s, rest_left_s
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal

# Retry-After where all endpoints are full: a slot becomes free within about the
# duration of a request.
FULL_RETRY_AFTER_S = 0.4
NO_ENDPOINT_RETRY_AFTER_S = 0.8
MIN_RETRY_AFTER_S = 0.1
# Retry-After is rounded to this, and must not end before the rest does.
RETRY_AFTER_RESOLUTION_S = 0.01
REST_SPREAD_SHARE = 0.1

# What the caller gets instead of a delivered response; None once one is delivered.
Failure = Refusal | tuple[ResponseHead, bytes] | None


def final_failure(
    gateway: Gateway, context: RequestContext, now_s: float, budget_left: bool
) -> Failure:
    """Return the failure of a request that no endpoint served."""
    if context.last_failure is not None and not _promises_not_run(context):
        return context.last_failure
    if context.may_have_run:
        return Refusal(Reason.OUTCOME_UNKNOWN, False, "the answer was lost")
    rest_s = rest_left_s(gateway, context, now_s)
    if rest_s is not None:
        return _refuse_while_resting(gateway, rest_s)
    if not context.attempt_count:
        return Refusal(
            Reason.NO_ENDPOINT,
            True,
            "no endpoint may be used",
            NO_ENDPOINT_RETRY_AFTER_S,
        )
    reason = Reason.OVERLOADED if budget_left else Reason.BUDGET_EXHAUSTED
    return Refusal(reason, True, "no endpoint took the request", FULL_RETRY_AFTER_S)


def _refuse_while_resting(gateway: Gateway, rest_s: float) -> Refusal:
    """Return the refusal of a request for which all endpoints have asked for rest.

    The callers' returns are spread: all at once, they would overload the first endpoint
    that is back.
    """
    after_s = rest_s * gateway.random.uniform(1.0, 1.0 + REST_SPREAD_SHARE)
    detail = "all endpoints have asked for rest"
    return Refusal(Reason.OVERLOADED, True, detail, after_s + RETRY_AFTER_RESOLUTION_S)


def no_endpoint(gateway: Gateway, context: RequestContext, now_s: float) -> Failure:
    """Return the failure of a request for which no endpoint may be used now."""
    wait_s = next_slot_in_s(gateway, context, now_s)
    if context.attempt_count or context.last_failure is not None or wait_s is None:
        return final_failure(gateway, context, now_s, budget_left=True)
    detail = "endpoints have stated limits, which are reached"
    return Refusal(Reason.OVERLOADED, True, detail, max(wait_s, MIN_RETRY_AFTER_S))


def _promises_not_run(context: RequestContext) -> bool:
    """Return whether the last failure promises "not run", which may be untrue."""
    assert context.last_failure is not None
    head, _ = context.last_failure
    return head.status in NOT_RUN_STATUSES
