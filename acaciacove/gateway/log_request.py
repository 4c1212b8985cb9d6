"""Log lines and counts of requests and their attempts."""

import asyncio

from acaciacove.gateway.attempt_outcome import AttemptOutcome
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.http.caller_request import CallerRequest
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.metric import Metric
from acaciacove.gateway.quarantine.request_fingerprint import format_fingerprint
from acaciacove.gateway.request_context import RequestContext
from acaciacove.gateway.response_summary import ResponseSummary
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal

MAX_LOGGED_PATH_CHARS = 100


def _response_fields(summary: ResponseSummary) -> list[object]:
    """Return endpoint, model, confidence, and actual and predicted head latency."""
    taken, predicted = round(summary.head_latency_s, 3), round(summary.predicted_s, 3)
    return [summary.endpoint, summary.model, summary.confidence, taken, predicted]


def log_refused(
    gateway: Gateway, request: CallerRequest, refusal: Refusal, status: int
) -> None:
    """Log and count a request that was refused before it was admitted."""
    gateway.metrics.count(Metric.REFUSALS, refusal.reason.value)
    gateway.traffic.count_refusal(refusal.reason, None, None)
    gateway.log.write(
        Event.CALLER_REFUSED,
        request_id=request.hints.request_id,
        status=status,
        reason=refusal.reason.value,
        host=request.host,
        path=request.path[:MAX_LOGGED_PATH_CHARS],
        confirmed_age_s=round(gateway.view.confirmed_age_s, 3),
        revision=gateway.view.operator_revision,
    )


def log_attempt(
    gateway: Gateway, context: RequestContext, outcome: AttemptOutcome
) -> None:
    """Count an attempt, and log it if it did not serve the request."""
    gateway.metrics.count(Metric.ATTEMPTS, outcome.value)
    if outcome is AttemptOutcome.DELIVERED:
        return
    gateway.log.write(
        Event.ATTEMPT,
        routine=outcome is AttemptOutcome.LOW_CONFIDENCE,
        request_id=context.request.hints.request_id,
        number=context.sent_count,
        endpoint=context.trail[-1] if context.trail else None,
        model=context.model,
        outcome=outcome.value,
        fingerprint=_fingerprint_of(context, outcome),
    )


def _fingerprint_of(context: RequestContext, outcome: AttemptOutcome) -> str | None:
    """Return the request's fingerprint if the endpoint may have crashed under it."""
    if outcome not in (AttemptOutcome.LOST, AttemptOutcome.BROKEN):
        return None
    return format_fingerprint(context.fingerprint)


def _overload_fields(context: RequestContext) -> dict[str, object]:
    """Return the fields that explain a refusal by overload control, if it was one."""
    refusal = context.overload_refusal
    if refusal is None:
        return {}
    return {
        "reason": Reason.OVERLOADED.value,
        "cause": refusal.cause.value,
        "level": refusal.level,
        "wait_s": refusal.wait_s,
        "wait_age_s": refusal.wait_age_s,
    }


def _quarantine_fields(context: RequestContext) -> dict[str, object]:
    """Return the fields of a request that was held back, if it was."""
    if context.held_key is None:
        return {}
    return {
        "reason": Reason.REQUEST_QUARANTINED.value,
        "held_fingerprint": format_fingerprint(context.held_key),
    }


def _postponed_fields(context: RequestContext) -> dict[str, float]:
    """Return how long the request's escalation was postponed, if it was."""
    if not context.postponed_s:
        return {}
    return {"postponed_s": round(context.postponed_s, 3)}


def log_request(gateway: Gateway, context: RequestContext, status: int | str) -> None:
    """Log and count a request that has ended with this status."""
    now_s = asyncio.get_running_loop().time()
    request = context.request
    first_s = context.first_chunk_s
    kind = context.route.repetition.value
    prompt = request.hints.prompt
    gateway.metrics.count(Metric.REQUESTS, kind, str(status))
    total_s = now_s - request.arrived_s
    gateway.metrics.count(Metric.REQUEST_SECONDS, kind, amount=total_s)
    if first_s is not None:
        first_chunk_s = first_s - request.arrived_s
        gateway.metrics.count(Metric.FIRST_CHUNK_SECONDS, kind, amount=first_chunk_s)
    gateway.log.write(
        Event.REQUEST,
        routine=status == "served",
        request_id=request.hints.request_id,
        route=context.route.name,
        service=context.service.name,
        organisation=context.organisation.name if context.organisation else None,
        session=context.session,
        status=status,
        model=context.model,
        trail=context.trail,
        heads=[_response_fields(summary) for summary in context.responses],
        input_tokens=prompt.input_tokens if prompt else None,
        parts=prompt.shared_parts if prompt else None,
        target_s=context.route.latency_target_s,
        tries=context.attempt_count,
        first_piece_s=round(first_s - request.arrived_s, 4) if first_s else None,
        total_s=round(total_s, 4),
        time_s=round(context.deadline_s - request.arrived_s, 3),
        **_postponed_fields(context),
        **_overload_fields(context),
        **_quarantine_fields(context),
        revision=gateway.view.operator_revision,
    )
