"""Checks what endpoints say of themselves, and changes, against what gateways do."""

from collections import defaultdict
from collections.abc import Iterator

from acaciacove.soak.bounds import (
    DRAIN_S,
    PROPAGATION_S,
    REQUESTS_IN_REST,
    REST_NOTICE_S,
)
from acaciacove.soak.call_record import CallRecord
from acaciacove.soak.fault_kind import ENDPOINT_LINK_FAULTS, GATEWAY_FAULTS
from acaciacove.soak.soak_trace import SoakTrace
from acaciacove.soak.violation import Promise, Violation
from acaciacove.standins.endpoint_arrival import EndpointArrival

# One gateway and one endpoint.
Pair = tuple[int, str]


def check_notices(trace: SoakTrace) -> Iterator[Violation]:
    """Yield requests to endpoints that want none, and requests by an old catalogue."""
    pairs: dict[Pair, list[tuple[EndpointArrival, CallRecord]]] = defaultdict(list)
    calls = trace.by_id()
    for arrival in sorted(trace.arrivals, key=lambda a: a.at_s):
        call = calls.get(arrival.request_id)
        if call is not None:
            pairs[call.gateway, arrival.instance].append((arrival, call))
            yield from _check_in_force(trace, arrival, call)
    for pair, seen in pairs.items():
        yield from _check_announced(trace, pair, seen)
        yield from _check_rests(trace, pair, [arrival for arrival, _ in seen])


def _check_announced(
    trace: SoakTrace, pair: Pair, seen: list[tuple[EndpointArrival, CallRecord]]
) -> Iterator[Violation]:
    """Check requests sent later than the drain time after an announced departure.

    The time counts from the answer that passed the announcement on.
    """
    told_s = min(
        (c.ended_s for a, c in seen if a.said_leaving == "1" and c.complete),
        default=float("inf"),
    )
    for arrival, call in seen:
        late_s = call.sent_s - told_s
        if late_s > DRAIN_S and not _has_restarted(trace, pair, told_s, arrival.at_s):
            detail = f"{call.request_id} at {pair[1]} {late_s:.2f} s after its word"
            yield Violation(Promise.DRAINED, detail)


def _check_rests(
    trace: SoakTrace, pair: Pair, arrivals: list[EndpointArrival]
) -> Iterator[Violation]:
    for asked in arrivals:
        if asked.retry_after is None:
            continue
        begin_s = asked.ended_s + REST_NOTICE_S
        end_s = asked.ended_s + float(asked.retry_after)
        count = sum(begin_s < arrival.at_s < end_s for arrival in arrivals)
        if count <= REQUESTS_IN_REST or _is_excused(trace, pair, asked.at_s, end_s):
            continue
        detail = (
            f"{pair[1]} asked gateway {pair[0]} for {asked.retry_after} s of rest"
            f" and got {count} requests"
        )
        yield Violation(Promise.RESTED, detail)
        return


def _check_in_force(
    trace: SoakTrace, arrival: EndpointArrival, call: CallRecord
) -> Iterator[Violation]:
    """Check that a revoked key runs nothing at a gateway in touch with the log."""
    late_s = call.sent_s - trace.revoked_s.get(call.key, float("inf"))
    if not arrival.ran or late_s <= PROPAGATION_S:
        return
    if trace.is_unaffected(call.gateway, call.sent_s, arrival.at_s):
        detail = f"{call.request_id} ran {late_s:.2f} s after its key was revoked"
        yield Violation(Promise.IN_FORCE, detail)


def _has_restarted(trace: SoakTrace, pair: Pair, from_s: float, to_s: float) -> bool:
    return any(
        fault.kind in GATEWAY_FAULTS
        and fault.subject == pair[0]
        and fault.from_s < to_s
        and fault.until_s > from_s
        for fault in trace.faults
    )


def _is_excused(trace: SoakTrace, pair: Pair, from_s: float, to_s: float) -> bool:
    """Return whether the gateway, the way to the endpoint or this process was held."""
    if any(a < to_s and b > from_s for a, b in trace.stalls):
        return True
    return _has_restarted(trace, pair, from_s, to_s) or any(
        fault.kind in ENDPOINT_LINK_FAULTS
        and fault.subject == pair[1]
        and fault.from_s < to_s
        and fault.until_s > from_s
        for fault in trace.faults
    )
