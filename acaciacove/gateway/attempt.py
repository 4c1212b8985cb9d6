"""One attempt to serve a request at one endpoint."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from acaciacove.decisions.request_status import RequestStatus
from acaciacove.gateway.attempt_outcome import AttemptOutcome
from acaciacove.gateway.endpoint_state import EndpointState
from acaciacove.gateway.endpoint_unwilling_error import EndpointUnwillingError
from acaciacove.gateway.exchange import Exchange
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.http.errors import (
    ConnectFailedError,
    ConnectionLostError,
    InvalidResponseError,
)
from acaciacove.gateway.http.front_connection import FrontConnection
from acaciacove.gateway.process_response import process_response
from acaciacove.gateway.quarantine.trial_taken_error import TrialTakenError
from acaciacove.gateway.record_result import record_failure
from acaciacove.gateway.request_context import RequestContext
from acaciacove.gateway.usable_endpoints import cold_share

# Connections within a region are made in a few milliseconds. One that takes this long
# goes to a machine that no longer exists.
CONNECT_TIMEOUT_S = 0.4
# Outcomes after which the endpoint does not work on the request any more.
ENDED_OUTCOMES = frozenset(
    {
        AttemptOutcome.DELIVERED,
        AttemptOutcome.NOT_RUN,
        AttemptOutcome.FAILED,
        AttemptOutcome.LOST,
        AttemptOutcome.BROKEN,
    }
)
# Outcomes after which the result of a trial is known here or soon from a check whether
# the endpoint has crashed.
TRIAL_RESULTS = frozenset(
    {AttemptOutcome.DELIVERED, AttemptOutcome.LOST, AttemptOutcome.BROKEN}
)


async def attempt(
    gateway: Gateway,
    context: RequestContext,
    state: EndpointState,
    front: FrontConnection,
    may_retry: bool,
    may_escalate: bool,
) -> AttemptOutcome:
    """Send the request to an endpoint and forward its response.

    ``may_retry`` means that another attempt may follow, ``may_escalate`` that a
    response of low confidence may be replaced by one of a larger model.
    """
    exchange = Exchange(gateway, context, state)
    outcome = AttemptOutcome.NOT_SENT
    try:
        with _track_in_flight(gateway, context, state):
            with _reserve_limits(gateway, context, state):
                await exchange.open(CONNECT_TIMEOUT_S)
                await _check_quarantine(gateway, context, state)
                _check_wanted(gateway, state)
                _check_body_fits(gateway, context, state)
                _record_sent(gateway, context, state)
            exchange.send()
            outcome = await process_response(
                gateway, context, exchange, front, may_retry, may_escalate
            )
    except (TrialTakenError, EndpointUnwillingError):
        outcome = AttemptOutcome.NOT_SENT
    except ConnectFailedError as error:
        outcome = AttemptOutcome.NOT_SENT
        record_failure(gateway, state, outcome, str(error))
    except (ConnectionLostError, InvalidResponseError) as error:
        broken = context.events_delivered
        outcome = AttemptOutcome.BROKEN if broken else AttemptOutcome.LOST
        record_failure(gateway, state, outcome, str(error))
        if exchange.sent:
            gateway.crash_detector.record_lost_request(state, context.crash_keys)
    except TimeoutError:
        broken = context.events_delivered
        outcome = AttemptOutcome.BROKEN if broken else AttemptOutcome.TIMED_OUT
        record_failure(gateway, state, outcome, "silence")
    finally:
        exchange.close()
        if exchange.sent and outcome not in ENDED_OUTCOMES:
            gateway.crash_detector.record_abandoned_request(state, context.crash_keys)
        if context.trial_key is not None and outcome not in TRIAL_RESULTS:
            now_s = asyncio.get_running_loop().time()
            gateway.guard.release_trials((context.trial_key,), now_s)
    if exchange.sent and outcome is not AttemptOutcome.NOT_RUN:
        context.may_have_run = True
    return outcome


async def _check_quarantine(
    gateway: Gateway, context: RequestContext, state: EndpointState
) -> None:
    """Acquire the trial of a suspected request; check others again.

    A request may have become suspect while its connection was being made. Raises
    TrialTakenError if it may not be sent now.
    """
    guard = gateway.guard
    if context.trial_key is not None:
        await guard.acquire_trial(context.trial_key, state.endpoint)
    elif not guard.quarantine.is_empty:
        now_s = asyncio.get_running_loop().time()
        status = guard.assess(context.crash_keys, now_s).status
        if status is not RequestStatus.FREE:
            raise TrialTakenError(f"the request has become {status.value}")


def _check_wanted(gateway: Gateway, state: EndpointState) -> None:
    """Check again what was true when the endpoint was chosen.

    It may have announced its departure, or asked for rest, in response to another
    request while the connection was being made. Raises EndpointUnwillingError.
    """
    now_s = asyncio.get_running_loop().time()
    rest_s = gateway.states.rest_left_s(state.endpoint, now_s)
    if rest_s > 0.0:
        raise EndpointUnwillingError(state.endpoint.instance, f"rests for {rest_s} s")
    if gateway.states.is_leaving(state.endpoint):
        raise EndpointUnwillingError(state.endpoint.instance, "it leaves")


def _check_body_fits(
    gateway: Gateway, context: RequestContext, state: EndpointState
) -> None:
    """Check that the endpoint has room for the body beside those in flight there.

    Raises EndpointUnwillingError; the request is then sent to another endpoint.
    """
    body_bytes = len(context.request.body)
    other_bytes = state.body_bytes - body_bytes
    if not gateway.held.budget.may_send(other_bytes, body_bytes):
        context.tried_instances.add(state.endpoint.instance)
        raise EndpointUnwillingError(
            state.endpoint.instance, f"has {other_bytes} bytes of bodies in flight"
        )


@contextmanager
def _track_in_flight(
    gateway: Gateway, context: RequestContext, state: EndpointState
) -> Iterator[None]:
    """Count the request in flight, at the endpoint and for a roll-out's old version."""
    progress = gateway.rollouts.get(context.service.name)
    is_old = progress is not None and state.endpoint.version != progress.order.target
    body_bytes = len(context.request.body)
    state.load.in_flight += 1
    state.body_bytes += body_bytes
    if progress is not None and is_old:
        progress.old_in_flight += 1
    try:
        yield
    finally:
        state.load.in_flight -= 1
        state.body_bytes -= body_bytes
        if progress is not None and is_old:
            progress.old_in_flight -= 1


@contextmanager
def _reserve_limits(
    gateway: Gateway, context: RequestContext, state: EndpointState
) -> Iterator[None]:
    """Reserve a place in the limits for the request while its connection is made."""
    progress = gateway.rollouts.get(context.service.name)
    is_target = progress is not None and state.endpoint.version == progress.order.target
    state.cold_limiter.reserve()
    state.stated_limit.reserve()
    if progress is not None and is_target:
        progress.reserved_target += 1
    try:
        yield
    finally:
        state.cold_limiter.release()
        state.stated_limit.release()
        if progress is not None and is_target:
            progress.reserved_target -= 1


def _record_sent(
    gateway: Gateway, context: RequestContext, state: EndpointState
) -> None:
    now_s = asyncio.get_running_loop().time()
    context.sent_count += 1
    context.tried_instances.add(state.endpoint.instance)
    context.sent_to.add(state.endpoint.key)
    context.trail.append(f"{state.endpoint.instance}@{state.endpoint.version}")
    service = context.service.name
    gateway.record_sent(service, now_s)
    state.stated_limit.count(now_s)
    if cold_share(gateway, context, state, now_s) is not None:
        state.cold_limiter.count(now_s)
    progress = gateway.rollouts.get(service)
    if progress is not None:
        progress.sent_all += 1
        if state.endpoint.version == progress.order.target:
            progress.sent_target += 1
    if context.session is not None:
        gateway.sessions.put(service, context.session, state.endpoint.version, now_s)
