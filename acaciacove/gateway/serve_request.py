"""Serves one request, from its admission to its log line."""

import asyncio
import contextlib

from acaciacove.decisions.byte_budget import CALLER_IDLE_S
from acaciacove.decisions.request_status import RequestStatus
from acaciacove.gateway.admit import admit
from acaciacove.gateway.attempt import attempt
from acaciacove.gateway.attempt_outcome import AttemptOutcome
from acaciacove.gateway.choose_endpoint import choose_endpoint
from acaciacove.gateway.choose_model import choose_first_model
from acaciacove.gateway.final_failure import Failure, final_failure, no_endpoint
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.http.caller_request import CallerRequest
from acaciacove.gateway.http.front_connection import FrontConnection
from acaciacove.gateway.http.response_head import ResponseHead
from acaciacove.gateway.log_request import log_attempt, log_refused, log_request
from acaciacove.gateway.overload_control import refuse_overloaded
from acaciacove.gateway.refuse import refuse
from acaciacove.gateway.request_context import RequestContext
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal

# Bound on all attempts, including those that sent nothing. A connection that cannot be
# made costs milliseconds and runs nothing, so it does not count against the route's
# ``max_attempts``.
MAX_ATTEMPTS = 6
# Retry-After of a request whose body does not fit into memory. Bodies in progress take
# about a second to be read and answered.
BODY_RETRY_AFTER_S = 1.0


async def serve_request(
    gateway: Gateway, request: CallerRequest, front: FrontConnection
) -> None:
    """Respond to one request, whatever happens to it."""
    admitted = admit(gateway, request)
    if isinstance(admitted, Refusal):
        refusal_status = await refuse(front, admitted)
        log_refused(gateway, request, admitted, refusal_status)
        return
    await _serve_admitted(gateway, admitted, front)


async def refuse_unread(
    gateway: Gateway, request: CallerRequest, front: FrontConnection
) -> None:
    """Refuse a request whose body has been left unread, for lack of memory."""
    detail = "the request body exceeds the gateway's free memory"
    refusal = Refusal(Reason.OVERLOADED, True, detail, BODY_RETRY_AFTER_S)
    status = await refuse(front, refusal)
    log_refused(gateway, request, refusal, status)


async def _serve_admitted(
    gateway: Gateway, context: RequestContext, front: FrontConnection
) -> None:
    status: int | str = "caller_left"
    try:
        status = await _serve_with_deadline(gateway, context, front)
    finally:
        log_request(gateway, context, status)


async def _serve_with_deadline(
    gateway: Gateway, context: RequestContext, front: FrontConnection
) -> int | str:
    """Serve the request until its deadline; then respond with a failure at once."""
    try:
        async with asyncio.timeout_at(context.deadline_s):
            failure = await _serve(gateway, context, front)
    except TimeoutError:
        failure = Refusal(
            Reason.DEADLINE_EXCEEDED, not context.may_have_run, "no answer in time"
        )
    if failure is None:
        return await _deliver_rest(context, front)
    if front.response_started:
        front.abort_response()
        return "broken_off"
    if isinstance(failure, Refusal):
        _count_refusal(gateway, context, failure)
        return await refuse(front, failure)
    return await _forward_failure(front, *failure)


def _count_refusal(gateway: Gateway, context: RequestContext, refusal: Refusal) -> None:
    organisation = context.organisation.name if context.organisation else None
    gateway.traffic.count_refusal(refusal.reason, context.service.name, organisation)


async def _deliver_rest(context: RequestContext, front: FrontConnection) -> str:
    """Wait until a complete response is written, however slowly the caller reads.

    It goes on after the deadline, since the endpoint has done the work, but only while
    the caller reads something.
    """
    loop = asyncio.get_running_loop()
    while front.unread_bytes:
        until_s = max(context.deadline_s, front.last_read_s + CALLER_IDLE_S)
        if until_s <= loop.time():
            front.abort_response()
            return "broken_off"
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(until_s):
                await front.flush()
    return "served"


async def _serve(
    gateway: Gateway, context: RequestContext, front: FrontConnection
) -> Failure:
    """Try one endpoint after another; return None once the response is delivered."""
    now_s = asyncio.get_running_loop().time()
    overload = refuse_overloaded(gateway, context, now_s)
    if overload is not None:
        return overload
    sizes = context.route.model_sizes
    if sizes and context.model is None:
        context.model = choose_first_model(gateway, context, now_s)
    while True:
        now_s = asyncio.get_running_loop().time()
        if context.sent_count and not gateway.has_retry_budget(
            context.service.name, now_s
        ):
            return final_failure(gateway, context, now_s, budget_left=False)
        refusal = _quarantine_refusal(gateway, context, now_s)
        if refusal is not None:
            return (
                refusal
                if not context.may_have_run
                else final_failure(gateway, context, now_s, budget_left=True)
            )
        state = choose_endpoint(gateway, context, now_s)
        if state is None:
            return no_endpoint(gateway, context, now_s)
        if context.sent_count:
            gateway.budget(context.service.name).consume(now_s, gateway.gateway_count)
        context.attempt_count += 1
        may_retry = (
            context.sent_count + 1 < context.route.max_attempts
            and context.trial_key is None
        )
        outcome = await attempt(
            gateway,
            context,
            state,
            front,
            may_retry,
            may_retry and _may_escalate(gateway, context),
        )
        log_attempt(gateway, context, outcome)
        if outcome is AttemptOutcome.DELIVERED:
            _record_served(gateway, context)
            return None
        if outcome is AttemptOutcome.LOW_CONFIDENCE:
            context.model, context.next_model = context.next_model, None
            context.tried_instances = set(context.refused_by)
            continue
        if not _may_retry(context, outcome):
            now_s = asyncio.get_running_loop().time()
            return final_failure(gateway, context, now_s, budget_left=True)


def _quarantine_refusal(
    gateway: Gateway, context: RequestContext, now_s: float
) -> Refusal | None:
    """Return the refusal of a request that crashes endpoints, None for any other."""
    guard = gateway.guard
    if guard.quarantine.is_empty:
        return None
    found = guard.assess(context.crash_keys, now_s)
    context.trial_key = found.key if found.status is RequestStatus.TRIAL else None
    refusal = guard.refusal_for(found, now_s)
    context.held_key = None if refusal is None else found.key
    return refusal


def _record_served(gateway: Gateway, context: RequestContext) -> None:
    now_s = asyncio.get_running_loop().time()
    # The fingerprint is a hash of the whole body, and needed only after a crash.
    is_calm = gateway.guard.quarantine.is_empty
    keys = context.shared_keys if is_calm else context.crash_keys
    gateway.guard.record_served(keys, now_s)


def _may_escalate(gateway: Gateway, context: RequestContext) -> bool:
    """Return whether a larger model may be asked if confidence is low."""
    sizes = context.route.model_sizes
    if not context.route.may_repeat or not sizes or context.model == sizes[-1]:
        return False
    if context.events_delivered:
        return False
    now_s = asyncio.get_running_loop().time()
    return gateway.has_retry_budget(context.service.name, now_s)


def _may_retry(context: RequestContext, outcome: AttemptOutcome) -> bool:
    """Return whether another endpoint may be tried.

    A request that may run only once is retried only while it is certain that no
    endpoint has started it. Any other request is retried within its attempts.
    """
    if (
        context.sent_count >= context.route.max_attempts
        or context.attempt_count >= MAX_ATTEMPTS
    ):
        return False
    if context.trial_key is not None and outcome is not AttemptOutcome.NOT_SENT:
        return False
    if outcome in (AttemptOutcome.NOT_SENT, AttemptOutcome.NOT_RUN):
        return not context.may_have_run or context.route.may_repeat
    return context.route.may_repeat


async def _forward_failure(
    front: FrontConnection, head: ResponseHead, body: bytes
) -> int:
    """Forward an endpoint's failure response unchanged."""
    headers = [(n, v) for n, v in head.headers if n != b"content-length"]
    headers.append((b"Content-Length", str(len(body)).encode()))
    front.start_response(head.status, head.reason, headers)
    await front.write(body)
    front.finish_response()
    return head.status
