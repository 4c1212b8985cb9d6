"""Serves one request, from its admission to its log line."""

import asyncio

from acaciacove.gateway.admit import admit
from acaciacove.gateway.attempt import attempt
from acaciacove.gateway.attempt_outcome import AttemptOutcome
from acaciacove.gateway.choose_endpoint import choose_endpoint
from acaciacove.gateway.choose_model import choose_first_model
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.head_seen import HeadSeen
from acaciacove.gateway.http.answer_head import AnswerHead
from acaciacove.gateway.http.caller_request import CallerRequest
from acaciacove.gateway.http.front_connection import FrontConnection
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.metric import Metric
from acaciacove.gateway.quarantine.request_fingerprint import written_fingerprint
from acaciacove.gateway.refuse import PROMISING, refuse
from acaciacove.gateway.usable_endpoints import room_in_s
from acaciacove.gateway.work import Work
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal

# Bound on all attempts, including those that sent nothing. A connection that cannot be
# made costs milliseconds and runs nothing, so it does not count against the route's
# ``max_attempts``.
MAX_TRIES = 6
# Retry-After where all endpoints are full: a slot becomes free within about the
# duration of a request.
FULL_RETRY_S = 0.4
NO_ENDPOINT_RETRY_S = 0.8
SHORTEST_RETRY_S = 0.1


async def serve_request(
    gateway: Gateway, request: CallerRequest, front: FrontConnection
) -> None:
    """Respond to one request, whatever happens to it."""
    admitted = admit(gateway, request)
    if isinstance(admitted, Refusal):
        refused = await refuse(front, admitted)
        _log_refused(gateway, request, admitted, refused)
        return
    work = admitted
    status: int | str = "caller_left"
    try:
        status = await _serve_in_time(gateway, work, front)
    finally:
        _log_request(gateway, work, status)


async def _serve_in_time(
    gateway: Gateway, work: Work, front: FrontConnection
) -> int | str:
    """Serve the request until its deadline; then respond with a failure at once."""
    try:
        async with asyncio.timeout_at(work.until_s):
            ending = await _serve(gateway, work, front)
    except TimeoutError:
        ending = Refusal(
            Reason.DEADLINE_EXCEEDED, not work.may_have_run, "no answer in time"
        )
    if ending is None:
        return "served"
    if front.answer_started:
        front.break_off()
        return "broken_off"
    if isinstance(ending, Refusal):
        return await refuse(front, ending)
    return await _pass_failure(front, *ending)


Ending = Refusal | tuple[AnswerHead, bytes] | None


async def _serve(gateway: Gateway, work: Work, front: FrontConnection) -> Ending:
    """Try one endpoint after another; return None once the response is delivered."""
    sizes = work.route.model_sizes
    if sizes and work.model is None:
        now_s = asyncio.get_running_loop().time()
        work.model = choose_first_model(gateway, work, now_s)
    while True:
        now_s = asyncio.get_running_loop().time()
        if work.sent and not _may_repeat_now(gateway, work, now_s):
            return _ending(work, budget_left=False)
        held = _held_back(gateway, work, now_s)
        if held is not None:
            return held if not work.may_have_run else _ending(work, budget_left=True)
        state = choose_endpoint(gateway, work, now_s)
        if state is None:
            return _nobody(gateway, work, now_s)
        if work.sent:
            gateway.budget(work.service.name).take(now_s, gateway.gateway_count)
        work.tries += 1
        follows = work.sent + 1 < work.route.max_attempts and not work.on_trial
        outcome = await attempt(
            gateway,
            work,
            state,
            front,
            follows,
            follows and _may_enlarge(gateway, work),
        )
        _log_attempt(gateway, work, outcome)
        if outcome is AttemptOutcome.DELIVERED:
            _clear(gateway, work)
            return None
        if outcome is AttemptOutcome.UNSURE:
            work.model, work.next_model = work.next_model, None
            work.tried = set(work.refused_by)
            continue
        if not _may_go_on(work, outcome):
            return _ending(work, budget_left=True)


def _held_back(gateway: Gateway, work: Work, now_s: float) -> Refusal | None:
    """Return the refusal of a request that crashes endpoints, None for any other."""
    guard = gateway.guard
    if guard.quarantine.is_empty:
        return None
    work.on_trial = guard.is_on_trial(work.fingerprint, now_s)
    return guard.held_back(work.fingerprint, now_s)


def _clear(gateway: Gateway, work: Work) -> None:
    if not gateway.guard.quarantine.is_empty:
        now_s = asyncio.get_running_loop().time()
        gateway.guard.note_served(work.fingerprint, now_s)


def _may_enlarge(gateway: Gateway, work: Work) -> bool:
    """Return whether a larger model may be asked if confidence is low."""
    sizes = work.route.model_sizes
    if not work.route.may_repeat or not sizes or work.model == sizes[-1]:
        return False
    if work.events_delivered:
        return False
    return _may_repeat_now(gateway, work, asyncio.get_running_loop().time())


def _may_repeat_now(gateway: Gateway, work: Work, now_s: float) -> bool:
    budget = gateway.budget(work.service.name)
    return budget.left(now_s, gateway.gateway_count) >= 1.0


def _may_go_on(work: Work, outcome: AttemptOutcome) -> bool:
    """Return whether another endpoint may be tried.

    A request that may run only once is retried only while it is certain that no
    endpoint has started it. Any other request is retried within its attempts.
    """
    if work.sent >= work.route.max_attempts or work.tries >= MAX_TRIES:
        return False
    if work.on_trial and outcome is not AttemptOutcome.NOT_SENT:
        return False
    if outcome in (AttemptOutcome.NOT_SENT, AttemptOutcome.NOT_RUN):
        return not work.may_have_run or work.route.may_repeat
    return work.route.may_repeat


def _ending(work: Work, budget_left: bool) -> Ending:
    """Return the failure of a request that no endpoint served."""
    if work.kept_failure is not None and not _contradicts(work):
        return work.kept_failure
    if work.may_have_run:
        return Refusal(Reason.OUTCOME_UNKNOWN, False, "the answer was lost")
    if not work.tries:
        return Refusal(
            Reason.NO_ENDPOINT, True, "no endpoint may be used", NO_ENDPOINT_RETRY_S
        )
    reason = Reason.OVERLOADED if budget_left else Reason.BUDGET_EXHAUSTED
    return Refusal(reason, True, "no endpoint took the request", FULL_RETRY_S)


def _nobody(gateway: Gateway, work: Work, now_s: float) -> Ending:
    """Return the failure of a request for which no endpoint may be used now."""
    wait_s = room_in_s(gateway, work, now_s)
    if work.tries or work.kept_failure is not None or wait_s is None:
        return _ending(work, budget_left=True)
    detail = "endpoints have stated limits, which are reached"
    return Refusal(Reason.OVERLOADED, True, detail, max(wait_s, SHORTEST_RETRY_S))


def _contradicts(work: Work) -> bool:
    """Return whether the last failure promises "not run", which may be untrue."""
    assert work.kept_failure is not None
    head, _ = work.kept_failure
    return head.status in PROMISING


async def _pass_failure(front: FrontConnection, head: AnswerHead, body: bytes) -> int:
    """Forward an endpoint's failure response unchanged."""
    headers = [(n, v) for n, v in head.headers if n != b"content-length"]
    headers.append((b"Content-Length", str(len(body)).encode()))
    front.start(head.status, head.reason, headers)
    await front.write(body)
    front.finish()
    return head.status


def _head_line(head: HeadSeen) -> list[object]:
    """Return endpoint, model, confidence, and actual and predicted head latency."""
    taken, predicted = round(head.took_s, 3), round(head.predicted_s, 3)
    return [head.endpoint, head.model, head.confidence, taken, predicted]


def _log_refused(
    gateway: Gateway, request: CallerRequest, refusal: Refusal, status: int
) -> None:
    gateway.metrics.count(Metric.REFUSALS, refusal.reason.value)
    gateway.log.write(
        Event.CALLER_REFUSED,
        request_id=request.hints.request_id,
        status=status,
        reason=refusal.reason.value,
        host=request.host,
        path=request.path[:MAX_LOGGED_PATH],
        confirmed_age_s=round(gateway.beliefs.confirmed_age_s, 3),
        revision=gateway.beliefs.operator_revision,
    )


MAX_LOGGED_PATH = 100


def _log_attempt(gateway: Gateway, work: Work, outcome: AttemptOutcome) -> None:
    gateway.metrics.count(Metric.ATTEMPTS, outcome.value)
    if outcome is AttemptOutcome.DELIVERED:
        return
    gateway.log.write(
        Event.ATTEMPT,
        routine=outcome is AttemptOutcome.UNSURE,
        request_id=work.request.hints.request_id,
        number=work.sent,
        endpoint=work.trail[-1] if work.trail else None,
        model=work.model,
        outcome=outcome.value,
        fingerprint=_fingerprint_of(work, outcome),
    )


def _fingerprint_of(work: Work, outcome: AttemptOutcome) -> str | None:
    """Return the request's fingerprint if the endpoint may have crashed under it."""
    if outcome not in (AttemptOutcome.LOST, AttemptOutcome.BROKEN):
        return None
    return written_fingerprint(work.fingerprint)


def _log_request(gateway: Gateway, work: Work, status: int | str) -> None:
    now_s = asyncio.get_running_loop().time()
    request = work.request
    first_s = work.first_piece_s
    kind = work.route.repetition.value
    prompt = request.hints.prompt
    gateway.metrics.count(Metric.REQUESTS, kind, str(status))
    total_s = now_s - request.arrived_s
    gateway.metrics.count(Metric.WHOLE, kind, amount=total_s)
    if first_s is not None:
        first_piece_s = first_s - request.arrived_s
        gateway.metrics.count(Metric.FIRST_PIECE, kind, amount=first_piece_s)
    gateway.log.write(
        Event.REQUEST,
        routine=status == "served",
        request_id=request.hints.request_id,
        route=work.route.name,
        service=work.service.name,
        organisation=work.organisation.name if work.organisation else None,
        session=work.session,
        status=status,
        model=work.model,
        trail=work.trail,
        heads=[_head_line(head) for head in work.heads],
        input_tokens=prompt.input_tokens if prompt else None,
        target_s=work.route.latency_target_s,
        tries=work.tries,
        first_piece_s=round(first_s - request.arrived_s, 4) if first_s else None,
        total_s=round(total_s, 4),
        time_s=round(work.until_s - request.arrived_s, 3),
        revision=gateway.beliefs.operator_revision,
    )
