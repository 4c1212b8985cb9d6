"""Checks the gateway that gets most new connections."""

from collections.abc import Iterator, Sequence

from acaciacove.soak.bounds import MIN_CONCENTRATED_SHARE, MIN_SOUND_CALLS
from acaciacove.soak.call_record import CallRecord
from acaciacove.soak.fault_kind import FaultKind
from acaciacove.soak.soak_trace import SETTLING_S, SoakTrace
from acaciacove.soak.violation import Promise, Violation

CONCENTRATED = frozenset({FaultKind.CONNECTIONS_CONCENTRATED})
SUCCESS = 200


def check_concentration(trace: SoakTrace) -> Iterator[Violation]:
    """Yield spans in which it serves too little of what it reads."""
    valid = [
        call
        for call in trace.calls
        if call.key not in trace.revoked_s
        and not trace.crashes_endpoints(call)
        and call.read_pause_s is None
        and trace.is_quiet(call.sent_s, CONCENTRATED)
    ]
    began = trace.first_runs()
    for fault in trace.faults:
        if fault.kind is not FaultKind.CONNECTIONS_CONCENTRATED:
            continue
        from_s = fault.from_s + SETTLING_S
        during = [c for c in valid if from_s < c.sent_s < fault.until_s and _is_read(c)]
        before = [c for c in valid if c.sent_s < fault.from_s]
        if len(during) < MIN_SOUND_CALLS:
            continue
        usual = _share(before, began) if len(before) >= MIN_SOUND_CALLS else 1.0
        share = _share(during, began)
        if share < MIN_CONCENTRATED_SHARE * usual:
            detail = f"{share:.2f} of {len(during)} served at once, usually {usual:.2f}"
            yield Violation(Promise.CONCENTRATED, detail)


def _is_read(call: CallRecord) -> bool:
    """Return whether the gateway read the request; unread ones end with a close."""
    return call.status is not None or not call.closed


def _share(calls: Sequence[CallRecord], began: set[str]) -> float:
    served = [
        call.status == SUCCESS and call.complete and call.request_id in began
        for call in calls
    ]
    return sum(served) / len(calls)
