"""What endpoints get that state a limit."""

from collections.abc import Iterator

from acaciacove.soak.bounds import (
    LIMIT_EXTRA,
    LIMIT_OVERAGE,
    LIMIT_PER_S,
    LIMIT_WINDOW_S,
    TOLD_S,
)
from acaciacove.soak.fault_kind import FaultKind
from acaciacove.soak.played_fault import PlayedFault
from acaciacove.soak.soak_trace import CONTACT_S, SoakTrace
from acaciacove.soak.violation import Promise, Violation
from acaciacove.standins.endpoint_arrival import EndpointArrival

ALLOWED = LIMIT_OVERAGE * LIMIT_PER_S * LIMIT_WINDOW_S + LIMIT_EXTRA


def check_limits(trace: SoakTrace) -> Iterator[Violation]:
    """Yield endpoints that got more than they stated."""
    for fault in trace.faults:
        if fault.kind is FaultKind.ENDPOINT_LIMITS:
            yield from _check_limit(trace, fault)


def _check_limit(trace: SoakTrace, limited: PlayedFault) -> Iterator[Violation]:
    calls = trace.by_id()
    told_s: dict[int, float] = {}
    counted: list[float] = []
    for arrival in _during(trace, limited):
        call = calls.get(arrival.request_id)
        if call is None:
            continue
        first_told_s = told_s.setdefault(call.gateway, call.ended_s + TOLD_S)
        is_late = arrival.at_s > limited.from_s + CONTACT_S
        if not is_late or arrival.at_s < first_told_s:
            continue
        if trace.is_in_touch(call.gateway, arrival.at_s, arrival.at_s):
            counted.append(arrival.at_s)
    for begin_s in counted:
        most = sum(begin_s <= at_s < begin_s + LIMIT_WINDOW_S for at_s in counted)
        if most > ALLOWED:
            detail = f"{limited.subject}: {most} requests in {LIMIT_WINDOW_S} s"
            yield Violation(Promise.LIMITED, f"{detail}, allowed {ALLOWED}")
            return


def _during(trace: SoakTrace, limited: PlayedFault) -> list[EndpointArrival]:
    """Return what reached the endpoint while it stated its limit, in order."""
    return sorted(
        (
            arrival
            for arrival in trace.arrivals
            if arrival.instance == limited.subject
            and limited.from_s < arrival.at_s < limited.until_s
        ),
        key=lambda arrival: arrival.at_s,
    )
