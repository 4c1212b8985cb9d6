"""Checks refusals by overload control, minimum shares, and answers read slowly."""

import math
import re
from collections import Counter
from collections.abc import Iterator

from acaciacove.gateway.overload_control import DETAILS
from acaciacove.soak.bounds import MAX_RETRY_AFTER_S
from acaciacove.soak.call_record import CallRecord
from acaciacove.soak.soak_catalogue import organisation_of
from acaciacove.soak.soak_trace import SoakTrace
from acaciacove.soak.violation import Promise, Violation

OVERLOAD_DETAILS = tuple(detail.encode() for detail in DETAILS.values())
TWO_DECIMALS = re.compile(r"[0-9]+\.[0-9]{2}")
# An organisation that asked less often may have had no luck.
MIN_CALLS = 20


def check_load(trace: SoakTrace) -> Iterator[Violation]:
    """Yield the broken promises about overload and slow callers."""
    arrived = {arrival.request_id for arrival in trace.arrivals}
    for call in trace.calls:
        if is_overload_refusal(call):
            yield from _check_refusal(call, call.request_id in arrived)
        yield from _check_read_on(trace, call)
    yield from _check_minimum_share(trace)


def is_overload_refusal(call: CallRecord) -> bool:
    """Return whether overload control has refused a call."""
    return call.status == 503 and any(text in call.body for text in OVERLOAD_DETAILS)


def is_read_on(call: CallRecord) -> bool:
    """Return whether a slow caller has read on, up to the end of its call.

    A call without an end was cut off by the end of the run.
    """
    return call.read_pause_s not in (None, math.inf) and call.ended_s > 0.0


def _check_refusal(call: CallRecord, has_arrived: bool) -> Iterator[Violation]:
    """Check that no endpoint got the request, and when its caller may return."""
    if has_arrived:
        yield Violation(Promise.REFUSED, f"{call.request_id} was sent to an endpoint")
    value = call.retry_after or ""
    if not TWO_DECIMALS.fullmatch(value) or not 0.0 < float(value) <= MAX_RETRY_AFTER_S:
        yield Violation(Promise.REFUSED, f"{call.request_id}: Retry-After {value!r}")


def _check_minimum_share(trace: SoakTrace) -> Iterator[Violation]:
    """Check that each organisation is served, from calls with keys in force."""
    asked: Counter[str] = Counter()
    served: Counter[str] = Counter()
    for call in trace.calls:
        is_valid = call.sent_s < trace.revoked_s.get(call.key, math.inf)
        if is_valid and not trace.crashes_endpoints(call):
            asked[organisation_of(call.key)] += 1
            served[organisation_of(call.key)] += call.status == 200
    for organisation, count in asked.items():
        if count >= MIN_CALLS and not served[organisation] and served.total():
            detail = f"{organisation}: none of {count} calls was served"
            yield Violation(Promise.MINIMUM_SHARE, detail)


def _check_read_on(trace: SoakTrace, call: CallRecord) -> Iterator[Violation]:
    """Check that an answer that is read on ends. ``check_answers`` checks its bytes."""
    is_stuck = is_read_on(call) and not call.complete and not call.closed
    if is_stuck and trace.is_unaffected(call.gateway, call.sent_s, call.ended_s):
        detail = f"{call.request_id} neither ended nor broke off"
        yield Violation(Promise.READ_ON, f"{detail}, {len(call.body)} bytes")
