"""Checks that a prompt part that crashes endpoints harms no other request."""

from collections.abc import Iterator, Sequence

from acaciacove.soak.bounds import (
    MAX_ATTEMPTS_AFTER_CRASHES,
    MIN_SOUND_CALLS,
    MIN_SOUND_SHARE,
    PART_CRASH_THRESHOLD,
)
from acaciacove.soak.call_kind import CallKind
from acaciacove.soak.call_record import CallRecord
from acaciacove.soak.soak_trace import SETTLING_S, SoakTrace
from acaciacove.soak.violation import Promise, Violation
from acaciacove.standins.endpoint_arrival import EndpointArrival


def check_crashing_parts(trace: SoakTrace) -> Iterator[Violation]:
    """Yield parts that were sent on too often, and sound requests that paid for it."""
    parts = {call.crashing_part for call in trace.calls} - {None}
    for part in sorted(str(part) for part in parts):
        arrivals = _arrivals_with(trace, part)
        crashes = sorted(a.ended_s for a in arrivals if a.ended == "crashed")
        if crashes:
            settled_s = crashes[:PART_CRASH_THRESHOLD][-1]
            yield from _check_sound_calls(trace, part, crashes[0], settled_s)
        if len(crashes) >= PART_CRASH_THRESHOLD:
            quarantined_from_s = crashes[PART_CRASH_THRESHOLD - 1] + SETTLING_S
            yield from _check_attempts(part, arrivals, quarantined_from_s)


def _arrivals_with(trace: SoakTrace, part: str) -> list[EndpointArrival]:
    calls = trace.by_id()
    return [
        arrival
        for arrival in trace.arrivals
        if (call := calls.get(arrival.request_id)) and call.crashing_part == part
    ]


def _check_attempts(
    part: str, arrivals: Sequence[EndpointArrival], from_s: float
) -> Iterator[Violation]:
    """Count attempts by all gateways, also by those that a fault affected lately."""
    attempts = [arrival for arrival in arrivals if arrival.at_s > from_s]
    if len(attempts) > MAX_ATTEMPTS_AFTER_CRASHES:
        yield Violation(Promise.CRASHING_PART, f"{part}: {len(attempts)} attempts")


def _check_sound_calls(
    trace: SoakTrace, part: str, first_crash_s: float, last_crash_s: float
) -> Iterator[Violation]:
    """Compare streams without the part before its crashes and after them."""
    sound = [
        call
        for call in trace.calls
        if call.kind is CallKind.DRAFT
        and call.crashing_part is None
        and call.key not in trace.revoked_s
        and trace.is_quiet(call.sent_s)
    ]
    began = trace.first_runs()
    before = [call for call in sound if call.sent_s < first_crash_s]
    after = [c for c in sound if c.sent_s > last_crash_s + 2.0 * SETTLING_S]
    if len(after) < MIN_SOUND_CALLS:
        return
    usual = _share(before, began) if len(before) >= MIN_SOUND_CALLS else 1.0
    share = _share(after, began)
    if share < MIN_SOUND_SHARE * usual:
        detail = (
            f"{part}: {share:.2f} of {len(after)} began at once, usually {usual:.2f}"
        )
        yield Violation(Promise.SOUND_SERVED, detail)


def _share(calls: Sequence[CallRecord], began: set[str]) -> float:
    return sum(call.request_id in began for call in calls) / len(calls)
