"""Checks that exactly the requests that crash endpoints are quarantined."""

from collections.abc import Iterator

from acaciacove.reason import Reason
from acaciacove.soak.bounds import CRASH_THRESHOLD, MAX_ATTEMPTS_AFTER_CRASHES
from acaciacove.soak.soak_trace import SETTLING_S, SoakTrace
from acaciacove.soak.violation import Promise, Violation

QUARANTINE_REASON = Reason.REQUEST_QUARANTINED.value.encode()


def check_crashes(trace: SoakTrace) -> Iterator[Violation]:
    """Yield crashing requests sent too often, and others wrongly quarantined."""
    for body in sorted(trace.crashing):
        yield from _check_attempts(trace, body)
    for call in trace.calls:
        if not trace.crashes_endpoints(call) and QUARANTINE_REASON in call.body:
            detail = f"{call.kind.value} {call.request_id}"
            yield Violation(Promise.NOT_QUARANTINED, detail)


def _check_attempts(trace: SoakTrace, body: bytes) -> Iterator[Violation]:
    arrivals = [arrival for arrival in trace.arrivals if arrival.body == body]
    crashes = sorted(a.ended_s for a in arrivals if a.ended == "crashed")
    if len(crashes) < CRASH_THRESHOLD:
        return
    quarantined_from_s = crashes[CRASH_THRESHOLD - 1] + SETTLING_S
    calls = trace.by_id()
    attempts = [
        arrival
        for arrival in arrivals
        if arrival.at_s > quarantined_from_s
        and (call := calls.get(arrival.request_id)) is not None
        and trace.is_unaffected(call.gateway, arrival.at_s, arrival.at_s)
    ]
    if len(attempts) > MAX_ATTEMPTS_AFTER_CRASHES:
        detail = (
            f"{body.decode()}: {len(attempts)} tries, {len(crashes)} crashes in all"
        )
        yield Violation(Promise.CRASHING, detail)
