"""Checks operations: drains, zones, retry budget, planned stops, recovery."""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterator

from acaciacove.soak.bounds import (
    DRAIN_S,
    RETRY_EXTRA,
    RETRY_RATIO,
    RETRY_WINDOW_S,
    ZONE_OUT_S,
)
from acaciacove.soak.call_record import CallRecord
from acaciacove.soak.fault_kind import DEPARTURES, GATEWAY_FAULTS, FaultKind
from acaciacove.soak.injected_fault import InjectedFault
from acaciacove.soak.soak_catalogue import service_of
from acaciacove.soak.soak_trace import SoakTrace
from acaciacove.soak.violation import Promise, Violation

MIN_SERVED_SHARE = 0.25
# With fewer requests after recovery, the served share is not significant.
MIN_CALLS = 20


def check_operations(trace: SoakTrace) -> Iterator[Violation]:
    """Yield the broken promises about the fleet's operation."""
    yield from _check_departures(trace)
    yield from _check_zones(trace)
    yield from _check_budget(trace)
    yield from _check_stops(trace)
    yield from _check_recovery(trace)
    for detail in [*trace.unexpected_exits, *trace.fault_log_lines]:
        yield Violation(Promise.NO_PROCESS_FAILED, detail)


def _check_departures(trace: SoakTrace) -> Iterator[Violation]:
    departed_s = {
        fault.subject: fault.from_s
        for fault in trace.faults
        if fault.kind in DEPARTURES
    }
    calls = trace.by_id()
    for arrival in trace.arrivals:
        since_s = departed_s.get(arrival.instance)
        call = calls.get(arrival.request_id)
        if since_s is None or call is None or arrival.at_s <= since_s + DRAIN_S:
            continue
        if trace.is_unaffected(call.gateway, since_s, arrival.at_s):
            elapsed_s = arrival.at_s - since_s
            detail = f"{call.request_id} at {arrival.instance} after {elapsed_s:.2f} s"
            yield Violation(Promise.DRAINED, detail)


def _check_zones(trace: SoakTrace) -> Iterator[Violation]:
    calls = trace.by_id()
    outs = [fault for fault in trace.faults if fault.kind is FaultKind.ZONE_OUT]
    for arrival in trace.arrivals:
        zone, call = trace.zone_of.get(arrival.instance), calls.get(arrival.request_id)
        if call is None:
            continue
        for out in outs:
            is_out_enforced = out.from_s + ZONE_OUT_S < arrival.at_s < out.until_s
            if out.subject != zone or not is_out_enforced:
                continue
            if trace.is_unaffected(call.gateway, out.from_s, arrival.at_s):
                elapsed_s = arrival.at_s - out.from_s
                detail = f"{call.request_id} in {zone} after {elapsed_s:.2f} s"
                yield Violation(Promise.ZONE_OUT, detail)


def _check_budget(trace: SoakTrace) -> Iterator[Violation]:
    """Compare repeats with requests in the most favourable of three windows.

    The windows end at the repeat, half a window earlier and one window earlier.
    """
    sent: dict[str, list[float]] = defaultdict(list)
    repeated: dict[str, list[float]] = defaultdict(list)
    calls = trace.by_id()
    for call in trace.calls:
        sent[service_of(call.kind)].append(call.sent_s)
    seen: set[str] = set()
    for arrival in sorted(trace.arrivals, key=lambda a: a.at_s):
        repeated_call = calls.get(arrival.request_id)
        if repeated_call is not None and arrival.request_id in seen:
            repeated[service_of(repeated_call.kind)].append(arrival.at_s)
        seen.add(arrival.request_id)
    for service, moments in repeated.items():
        requests = sorted(sent[service])
        for at_s in moments:
            repeats = _count_in_window(moments, at_s)
            shifts = (0.0, RETRY_WINDOW_S / 2.0, RETRY_WINDOW_S)
            request_count = max(
                _count_in_window(requests, at_s - shift) for shift in shifts
            )
            if repeats > RETRY_RATIO * request_count + RETRY_EXTRA:
                detail = f"{service}: {repeats} repeats for {request_count} requests"
                yield Violation(Promise.BUDGET, detail)
                break


def _count_in_window(moments: list[float], until_s: float) -> int:
    """Count the sorted moments in the window that ends at ``until_s``."""
    begin = bisect_right(moments, until_s - RETRY_WINDOW_S)
    return bisect_right(moments, until_s) - begin


def _check_stops(trace: SoakTrace) -> Iterator[Violation]:
    """Check requests that a stopping gateway had forwarded.

    A request that was sent while the gateway closed the idle connection has run
    nowhere, and may be sent again.
    """
    runs = trace.runs()
    stops = [fault for fault in trace.faults if fault.kind is FaultKind.TERMINATE]
    for call in trace.calls:
        call_runs = runs.get(call.request_id, [])
        if not call.closed or not call_runs:
            continue
        for stop in stops:
            was_sent = call.sent_s < stop.from_s + DRAIN_S
            was_open = was_sent and call.ended_s > stop.from_s
            if stop.subject != call.gateway or not was_open:
                continue
            if not _has_other_cause(
                trace, stop, call, {run.instance for run in call_runs}
            ):
                detail = (
                    f"{call.request_id} was cut, "
                    f"runs {[run.ended for run in call_runs]}"
                )
                yield Violation(Promise.STOPPED, detail)


def _has_other_cause(
    trace: SoakTrace, stop: InjectedFault, call: CallRecord, instances: set[str]
) -> bool:
    """Return whether a stall or another fault may have cut the request.

    Only faults of its gateway or of an endpoint that ran it count.
    """
    if any(a < call.ended_s and b > call.sent_s for a, b in trace.stalls):
        return True
    return any(
        fault is not stop
        and fault.from_s < call.ended_s
        and fault.until_s > call.sent_s - DRAIN_S
        and (
            fault.subject in instances
            or (fault.kind in GATEWAY_FAULTS and fault.subject == call.gateway)
        )
        for fault in trace.faults
    )


def _check_recovery(trace: SoakTrace) -> Iterator[Violation]:
    valid = trace.calls_after_recovery()
    served = sum(call.status == 200 and call.complete for call in valid)
    if len(valid) >= MIN_CALLS and served < MIN_SERVED_SHARE * len(valid):
        detail = f"{served} of {len(valid)} served once all was back"
        yield Violation(Promise.RECOVERED, detail)
