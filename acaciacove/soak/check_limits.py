"""Checks the request rate at endpoints that state a limit."""

from collections.abc import Iterator

from acaciacove.soak.bounds import (
    LIMIT_EXTRA,
    LIMIT_NOTICE_S,
    LIMIT_OVERAGE,
    LIMIT_PER_S,
    LIMIT_WINDOW_S,
)
from acaciacove.soak.fault_kind import FaultKind
from acaciacove.soak.injected_fault import InjectedFault
from acaciacove.soak.soak_trace import SETTLING_S, SoakTrace
from acaciacove.soak.violation import Promise, Violation
from acaciacove.standins.endpoint_arrival import EndpointArrival

MAX_REQUESTS_PER_WINDOW = LIMIT_OVERAGE * LIMIT_PER_S * LIMIT_WINDOW_S + LIMIT_EXTRA


def check_limits(trace: SoakTrace) -> Iterator[Violation]:
    """Yield endpoints that received more requests than their stated limit."""
    for fault in trace.faults:
        if fault.kind is FaultKind.ENDPOINT_LIMITS:
            yield from _check_limit(trace, fault)


def _check_limit(trace: SoakTrace, limited: InjectedFault) -> Iterator[Violation]:
    calls = trace.by_id()
    notified_s: dict[int, float] = {}
    counted: list[float] = []
    for arrival in _arrivals_while_limited(trace, limited):
        call = calls.get(arrival.request_id)
        if call is None:
            continue
        gateway_notified_s = notified_s.setdefault(
            call.gateway, call.ended_s + LIMIT_NOTICE_S
        )
        is_enforced = arrival.at_s > limited.from_s + SETTLING_S
        if not is_enforced or arrival.at_s < gateway_notified_s:
            continue
        if trace.is_unaffected(call.gateway, arrival.at_s, arrival.at_s):
            counted.append(arrival.at_s)
    for begin_s in counted:
        count = sum(begin_s <= at_s < begin_s + LIMIT_WINDOW_S for at_s in counted)
        if count > MAX_REQUESTS_PER_WINDOW:
            detail = f"{limited.subject}: {count} requests in {LIMIT_WINDOW_S} s"
            yield Violation(
                Promise.LIMITED, f"{detail}, allowed {MAX_REQUESTS_PER_WINDOW}"
            )
            return


def _arrivals_while_limited(
    trace: SoakTrace, limited: InjectedFault
) -> list[EndpointArrival]:
    """Return the endpoint's arrivals while it stated its limit, in order of time."""
    return sorted(
        (
            arrival
            for arrival in trace.arrivals
            if arrival.instance == limited.subject
            and limited.from_s < arrival.at_s < limited.until_s
        ),
        key=lambda arrival: arrival.at_s,
    )
