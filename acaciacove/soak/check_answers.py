"""Checks answers: run at most once, truthful status, complete, authorised."""

import re
from collections.abc import Iterator

from acaciacove.gateway.refuse import NOT_RUN_STATUSES
from acaciacove.platform import names
from acaciacove.soak.bounds import LONG_EVENT_BYTES, REVOCATION_S
from acaciacove.soak.call_kind import AT_MOST_ONCE_KINDS, CallKind
from acaciacove.soak.call_record import CallRecord
from acaciacove.soak.soak_catalogue import SIZES, organisation_of
from acaciacove.soak.soak_trace import SoakTrace
from acaciacove.soak.violation import Promise, Violation
from acaciacove.standins.endpoint_behaviour import EndpointBehaviour

SUCCESS = 200
EVENT = re.compile(rb"id: (\d+)\ndata: \w+ \d+(\.*)\n\n")


def check_answers(trace: SoakTrace) -> Iterator[Violation]:
    """Yield the broken promises about answers, and about arrivals at endpoints."""
    runs = trace.runs()
    for call in trace.calls:
        call_runs = runs.get(call.request_id, [])
        instances = [run.instance for run in call_runs]
        if call.kind in AT_MOST_ONCE_KINDS and len(call_runs) > 1:
            yield _violation(Promise.AT_MOST_ONCE, call, f"ran on {instances}")
        if call.status in NOT_RUN_STATUSES and call_runs:
            yield _violation(
                Promise.NOT_RUN, call, f"{call.status}, ran on {instances}"
            )
        if call.status == SUCCESS and call.complete:
            yield from _check_complete(call, instances)
    yield from _check_permission(trace)


def _violation(promise: Promise, call: CallRecord, detail: str) -> Violation:
    return Violation(promise, f"{call.kind.value} {call.request_id}: {detail}")


def _check_complete(call: CallRecord, instances: list[str]) -> Iterator[Violation]:
    instance, _, request_id = call.receipt.partition("/")
    if request_id != call.request_id or instance not in instances:
        yield _violation(Promise.COMPLETE, call, f"receipt {call.receipt!r}")
    elif call.kind is CallKind.DRAFT:
        numbers = [
            int(event[1])
            for event in EVENT.finditer(call.body)
            if not event[2] or len(event[0].rstrip()) == LONG_EVENT_BYTES
        ]
        rest = EVENT.sub(b"", call.body)
        if numbers != list(range(1, EndpointBehaviour().events + 1)) or rest:
            yield _violation(Promise.COMPLETE, call, f"events {numbers}, rest {rest!r}")
    elif call.body != f"{instance} served {call.request_id}".encode():
        yield _violation(Promise.COMPLETE, call, f"body {call.body!r}")


def _check_permission(trace: SoakTrace) -> Iterator[Violation]:
    calls = trace.by_id()
    for arrival in trace.arrivals:
        call = calls.get(arrival.request_id)
        if call is None:
            detail = f"{arrival.request_id!r} was sent by no caller"
            yield Violation(Promise.AUTHORISED, detail)
            continue
        organisation = arrival.fields.get(names.ORGANISATION.decode())
        if organisation != organisation_of(call.key):
            yield _violation(Promise.AUTHORISED, call, f"ran for {organisation}")
        model = arrival.fields.get(names.MODEL.decode())
        if model is not None and model not in SIZES:
            yield _violation(Promise.AUTHORISED, call, f"ran on model {model}")
        revoked_s = trace.revoked_s.get(call.key, float("inf"))
        if arrival.ran and call.sent_s > revoked_s + REVOCATION_S:
            elapsed_s = call.sent_s - revoked_s
            yield _violation(Promise.REVOKED, call, f"sent {elapsed_s:.2f} s after")
