"""Each check of a soak finds its violation, and accepts allowed behaviour."""

import math

import pytest

from acaciacove.platform import names
from acaciacove.soak.bounds import LIMIT_OVERAGE, LONG_EVENT_BYTES
from acaciacove.soak.call_kind import CallKind
from acaciacove.soak.call_record import CallRecord
from acaciacove.soak.check_answers import check_answers
from acaciacove.soak.check_concentration import check_concentration
from acaciacove.soak.check_crashes import check_crashes
from acaciacove.soak.check_crashing_parts import check_crashing_parts
from acaciacove.soak.check_limits import check_limits
from acaciacove.soak.check_load import check_load
from acaciacove.soak.check_notices import check_notices
from acaciacove.soak.check_operations import check_operations
from acaciacove.soak.fault_kind import DEPARTURES, FaultKind
from acaciacove.soak.injected_fault import InjectedFault
from acaciacove.soak.soak_catalogue import organisation_of
from acaciacove.soak.soak_trace import SoakTrace
from acaciacove.soak.violation import Promise
from acaciacove.standins.endpoint_arrival import EndpointArrival

KEY = "key-0"
EVENTS = b"".join(b"id: %d\ndata: small %d\n\n" % (n, n) for n in range(1, 5))
LONG_EVENTS = b"".join(
    event.ljust(LONG_EVENT_BYTES, b".") + b"\n\n"
    for event in EVENTS.split(b"\n\n")[:-1]
)


def a_call(number=1, kind=CallKind.BOOK, **changes):
    request_id = f"1-{number}"
    values = {
        "request_id": request_id,
        "kind": kind,
        "key": KEY,
        "gateway": 0,
        "sent_s": 10.0,
        "ended_s": 10.1,
        "status": 200,
        "complete": True,
        "receipt": f"i-0/{request_id}",
        "body": f"i-0 served {request_id}".encode(),
    }
    return CallRecord(**(values | changes))


def an_arrival(number=1, **changes):
    fields = {
        "acaciacove-attempt-id": f"1-{number}",
        names.ORGANISATION.decode(): organisation_of(KEY),
    }
    fields |= changes.pop("fields", {})
    values = {
        "at_s": 10.05,
        "instance": "i-0",
        "method": "POST",
        "target": "/book/1",
        "fields": fields,
        "body": b"body",
        "ran": True,
        "ended": "done",
    }
    return EndpointArrival(**(values | changes))


def promises_broken(**trace):
    seen = SoakTrace(**trace)
    found = [*check_answers(seen), *check_operations(seen)]
    return {violation.promise for violation in found}


def test_a_served_request_breaks_nothing():
    assert promises_broken(calls=[a_call()], arrivals=[an_arrival()]) == set()
    for events in (EVENTS, LONG_EVENTS):
        draft = a_call(kind=CallKind.DRAFT, body=events)
        assert promises_broken(calls=[draft], arrivals=[an_arrival()]) == set()


def test_a_booking_that_runs_twice_is_found():
    arrivals = [an_arrival(), an_arrival(instance="i-1")]
    assert promises_broken(calls=[a_call()], arrivals=arrivals) == {
        Promise.AT_MOST_ONCE
    }
    lookup = a_call(kind=CallKind.LOOK)
    assert promises_broken(calls=[lookup], arrivals=arrivals) == set()


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_false_promise_that_nothing_ran_is_found(status):
    call = a_call(status=status)
    assert promises_broken(calls=[call], arrivals=[an_arrival()]) == {Promise.NOT_RUN}
    refused = an_arrival(ran=False, ended="")
    assert promises_broken(calls=[call], arrivals=[refused]) == set()


@pytest.mark.parametrize(
    "changes",
    [
        {"body": b"i-0 served 1-2"},
        {"receipt": "i-0/1-2"},
        {"receipt": "i-9/1-1"},
        {"receipt": ""},
        {"kind": CallKind.DRAFT, "body": EVENTS[:-20]},
        {"kind": CallKind.DRAFT, "body": EVENTS + EVENTS},
        {"kind": CallKind.DRAFT, "body": LONG_EVENTS.replace(b"..", b".", 1)},
        {"kind": CallKind.DRAFT, "body": LONG_EVENTS[: -LONG_EVENT_BYTES - 2]},
        {"kind": CallKind.DRAFT, "body": EVENTS + b"id: 5"},
    ],
)
def test_an_incomplete_or_foreign_answer_is_found(changes):
    call = a_call(**changes)
    assert promises_broken(calls=[call], arrivals=[an_arrival()]) == {Promise.COMPLETE}


def test_an_answer_that_ends_early_and_says_so_is_allowed():
    call = a_call(complete=False, closed=True, body=b"i-0 ser")
    assert promises_broken(calls=[call], arrivals=[an_arrival()]) == set()


def test_work_for_another_organisation_or_without_a_call_is_found():
    fields = {names.ORGANISATION.decode(): "another"}
    other = an_arrival(fields=fields)
    assert promises_broken(calls=[a_call()], arrivals=[other]) == {Promise.AUTHORISED}
    assert promises_broken(arrivals=[an_arrival()]) == {Promise.AUTHORISED}
    model = an_arrival(fields={names.MODEL.decode(): "huge"})
    assert promises_broken(calls=[a_call()], arrivals=[model]) == {Promise.AUTHORISED}


def test_work_for_a_revoked_key_is_found_once_its_time_is_up():
    run = {"calls": [a_call()], "arrivals": [an_arrival()]}
    assert promises_broken(**run, revoked_s={KEY: 4.9}) == {Promise.REVOKED}
    assert promises_broken(**run, revoked_s={KEY: 5.1}) == set()


def departure_at(at_s, kind=FaultKind.ENDPOINT_LEAVES):
    return InjectedFault(kind, "i-0", at_s)


@pytest.mark.parametrize("kind", sorted(DEPARTURES))
def test_work_for_a_departed_endpoint_is_found(kind):
    run = {"calls": [a_call()], "arrivals": [an_arrival()]}
    assert promises_broken(**run, faults=[departure_at(8.0, kind)]) == {Promise.DRAINED}
    assert promises_broken(**run, faults=[departure_at(8.2, kind)]) == set()


def test_a_gateway_that_the_log_refuses_is_excused_only_without_peers():
    run = {"arrivals": [an_arrival()]}
    faults = [departure_at(8.0), InjectedFault(FaultKind.LOG_TURNS_AWAY, 0, 7.0, 12.0)]
    alone = [a_call()]
    others = [*alone, a_call(2, CallKind.LOOK, gateway=1, status=0, sent_s=3.0)]
    paused = InjectedFault(FaultKind.PAUSE, 1, 7.0, 7.5)
    assert promises_broken(calls=alone, faults=faults, **run) == set()
    assert Promise.DRAINED in promises_broken(calls=others, faults=faults, **run)
    late = promises_broken(calls=others, faults=[*faults, paused], **run)
    assert Promise.DRAINED not in late


@pytest.mark.parametrize(
    ("kind", "subject", "excused"),
    [
        (FaultKind.PAUSE, 0, True),
        (FaultKind.PAUSE, 1, False),
        (FaultKind.LOG_SILENT, 0, True),
        (FaultKind.LOG_SILENT, 1, False),
        (FaultKind.LOG_REFUSES, "log", True),
        (FaultKind.ENDPOINT_FAILS, "i-0", False),
    ],
)
def test_only_faults_of_the_gateway_or_the_log_excuse_it(kind, subject, excused):
    fault = InjectedFault(kind, subject, 7.0, 7.5)
    found = promises_broken(
        calls=[a_call()], arrivals=[an_arrival()], faults=[departure_at(8.0), fault]
    )
    assert found == (set() if excused else {Promise.DRAINED})


def test_a_stall_of_this_machine_excuses_time_limits():
    found = promises_broken(
        calls=[a_call()],
        arrivals=[an_arrival()],
        faults=[departure_at(8.0)],
        stalls=[(9.0, 9.5)],
    )
    assert found == set()


def test_work_in_a_zone_that_is_out_is_found():
    run = {"calls": [a_call()], "arrivals": [an_arrival()], "zone_of": {"i-0": "a"}}
    out = InjectedFault(FaultKind.ZONE_OUT, "a", 5.0, 11.0)
    assert promises_broken(**run, faults=[out]) == {Promise.ZONE_OUT}
    back = InjectedFault(FaultKind.ZONE_OUT, "a", 5.0, 10.0)
    assert promises_broken(**run, faults=[back]) == set()


def test_repeats_beyond_the_budget_are_found():
    def repeated(count):
        calls = [a_call(n, CallKind.LOOK, status=None) for n in range(count)]
        arrivals = [an_arrival(n) for n in range(count)] * 3
        return promises_broken(calls=calls, arrivals=arrivals)

    assert repeated(5) == set()
    assert repeated(6) == {Promise.BUDGET}


@pytest.mark.parametrize("ended", ["done", "cut"])
def test_a_request_that_a_planned_stop_cut_is_found(ended):
    call = a_call(status=None, complete=False, closed=True, ended_s=12.0)
    stop = InjectedFault(FaultKind.TERMINATE, 0, 11.0, 13.0)
    run = {"calls": [call], "arrivals": [an_arrival(ended=ended)]}
    assert promises_broken(**run, faults=[stop]) == {Promise.STOPPED}


@pytest.mark.parametrize(
    ("kind", "subject", "excused"),
    [
        (FaultKind.KILL, 0, True),
        (FaultKind.KILL, 1, False),
        (FaultKind.ENDPOINT_RESET, "i-0", True),
        (FaultKind.ENDPOINT_RESET, "i-1", False),
        (FaultKind.LOG_AWAY, "log", False),
    ],
)
def test_only_another_fault_on_its_way_excuses_a_cut(kind, subject, excused):
    call = a_call(status=None, complete=False, closed=True, ended_s=12.0)
    stop = InjectedFault(FaultKind.TERMINATE, 0, 11.0, 13.0)
    other = InjectedFault(kind, subject, 11.5, 11.6)
    found = promises_broken(calls=[call], arrivals=[an_arrival()], faults=[stop, other])
    assert found == (set() if excused else {Promise.STOPPED})


def test_a_request_that_crossed_a_close_and_ran_nowhere_is_allowed():
    call = a_call(status=None, complete=False, closed=True, ended_s=12.0)
    stop = InjectedFault(FaultKind.TERMINATE, 0, 11.0, 13.0)
    assert promises_broken(calls=[call], faults=[stop]) == set()


def test_a_fleet_that_serves_no_more_is_found():
    calls = [a_call(n, status=503) for n in range(30)]
    found = promises_broken(calls=calls, recovered_s=9.0)
    assert found == {Promise.RECOVERED}
    assert promises_broken(calls=calls, recovered_s=11.0) == set()


def test_processes_that_end_or_fail_are_found():
    assert promises_broken(unexpected_exits=["gateway-0"]) == {
        Promise.NO_PROCESS_FAILED
    }
    assert promises_broken(fault_log_lines=["Traceback"]) == {Promise.NO_PROCESS_FAILED}


def a_crash(number, at_s, ended="crashed"):
    """Return the call and the arrival of a request that crashes endpoints."""
    call = a_call(number, CallKind.LOOK, sent_s=at_s, status=502, sent_body=CRASHING)
    run = an_arrival(number, at_s=at_s, ended_s=at_s, ended=ended, body=CRASHING)
    return call, run


CRASHING = b"crash-1"


def crashes_broken(moments, **trace):
    pairs = [a_crash(number, at_s) for number, at_s in enumerate(moments)]
    seen = SoakTrace(
        calls=[call for call, _ in pairs],
        arrivals=[run for _, run in pairs],
        crashing=frozenset({CRASHING}),
        **trace,
    )
    return {violation.promise for violation in check_crashes(seen)}


def test_a_request_that_goes_on_crashing_endpoints_is_found():
    """Guards against a fleet that forwards a crashing request without end."""
    early = [10.0, 10.1, 10.2, 12.0, 13.1]
    assert crashes_broken([*early, 20.0, 21.0, 22.0]) == set()
    assert crashes_broken([*early, 20.0, 21.0, 22.0, 23.0]) == {Promise.CRASHING}
    paused = InjectedFault(FaultKind.PAUSE, 0, 18.0, 19.0)
    assert crashes_broken([*early, 20.0, 21.0, 23.0, 24.0], faults=[paused]) == set()


def test_a_quarantined_request_without_crashes_is_found():
    """Guards against refusing a request because another one crashed endpoints."""
    quarantined = a_call(status=503, body=b'{"reason":"request_quarantined"}')
    found = [v.promise for v in check_crashes(SoakTrace(calls=[quarantined]))]
    assert found == [Promise.NOT_QUARANTINED]
    bad = a_call(status=503, body=quarantined.body, sent_body=CRASHING)
    crashing = frozenset({CRASHING})
    assert not list(check_crashes(SoakTrace(calls=[bad], crashing=crashing)))


def parts_broken(at_s, sound_from_s=(), share=1.0, faults=()):
    """Send requests with a crashing part at these times, and sound ones in between."""
    calls, arrivals = [], []
    for number, sent_s in enumerate(at_s):
        part = {"crashing_part": "bad", "sent_s": sent_s, "ended_s": sent_s + 0.1}
        calls.append(a_call(number, CallKind.DRAFT, **part))
        crashed = {"at_s": sent_s, "ended_s": sent_s, "ended": "crashed"}
        arrivals.append(an_arrival(number, ran=True, **crashed))
    for from_s in sound_from_s:
        for step in range(20):
            number = len(calls)
            sent_s = from_s + step / 10.0
            calls.append(a_call(number, CallKind.DRAFT, sent_s=sent_s))
            ran = step < 20 * (share if from_s > 20.0 else 1.0)
            arrivals.append(an_arrival(number, at_s=sent_s, ran=ran))
    arrivals.sort(key=lambda arrival: arrival.at_s)
    trace = SoakTrace(calls=calls, arrivals=arrivals, faults=list(faults))
    return {violation.promise for violation in check_crashing_parts(trace)}


def test_a_prompt_part_that_goes_on_crashing_endpoints_is_found():
    """Guards against a fleet that sends other requests with the part without end."""
    early = [10.0, 10.1, 10.2, 12.0, 13.0, 14.0, 15.9]
    assert parts_broken([*early, 20.0, 21.0, 22.0]) == set()
    assert parts_broken([*early, 20.0, 21.0, 22.0, 23.0]) == {Promise.CRASHING_PART}
    assert parts_broken([10.0, 11.0, 12.0, 13.0]) == set()


def test_sound_requests_that_pay_for_a_crashing_part_are_found():
    """Guards against a fleet that holds back all that shares a caller or a part."""
    crashes = [10.0, 10.1, 10.2, 10.3, 10.4]
    assert parts_broken(crashes, sound_from_s=(2.0, 30.0)) == set()
    assert parts_broken(crashes, sound_from_s=(2.0, 30.0), share=0.5) == set()
    found = parts_broken(crashes, sound_from_s=(2.0, 30.0), share=0.45)
    assert found == {Promise.SOUND_SERVED}
    other = InjectedFault(FaultKind.ENDPOINTS_QUEUE, "model", 28.0, 33.0)
    assert parts_broken(crashes, (2.0, 30.0), share=0.0, faults=[other]) == set()


def concentration_broken(share, **changes):
    """Send to one gateway for 7 s, with this share served at the first attempt."""
    fault = InjectedFault(FaultKind.CONNECTIONS_CONCENTRATED, "callers", 20.0, 27.0)
    calls, arrivals = [], []
    for number in range(60):
        is_busy = number >= 30
        sent_s = 23.0 + (number - 30) / 10.0 if is_busy else 5.0 + number / 10.0
        is_served = not is_busy or number - 30 < 30 * share
        values = {"sent_s": sent_s, "status": 200 if is_served else 503}
        calls.append(
            a_call(number, CallKind.LOOK, **values | (changes if is_busy else {}))
        )
        arrivals.append(an_arrival(number, at_s=sent_s, ran=is_served))
    trace = SoakTrace(calls=calls, arrivals=arrivals, faults=[fault])
    return [violation.promise for violation in check_concentration(trace)]


def test_a_gateway_that_serves_little_of_what_it_reads_is_found():
    """Guards against a fleet that one busy gateway holds up."""
    assert concentration_broken(0.8) == []
    assert concentration_broken(0.7) == [Promise.CONCENTRATED]
    unread = {"status": None, "closed": True, "complete": False}
    assert concentration_broken(0.7, **unread) == []


def limits_broken(per_s, gateways=2, answer_after_s=0.1, **trace):
    """Send at an even rate to an endpoint that states its limit from 20 s to 30 s."""
    limited = InjectedFault(FaultKind.ENDPOINT_LIMITS, "i-0", 20.0, 30.0)
    calls, arrivals = [], []
    for number in range(int(12 * per_s)):
        at_s = 19.0 + number / per_s
        times = {"sent_s": at_s, "ended_s": at_s + answer_after_s}
        calls.append(a_call(number, CallKind.LOOK, gateway=number % gateways, **times))
        arrivals.append(an_arrival(number, at_s=at_s))
    faults = [limited, *trace.pop("faults", [])]
    seen = SoakTrace(calls=calls, arrivals=arrivals, faults=faults)
    return {violation.promise for violation in check_limits(seen)}


def test_an_endpoint_that_gets_more_than_it_states_is_found():
    """Guards against gateways that together exceed an endpoint's limit."""
    assert limits_broken(2.0 * LIMIT_OVERAGE) == set()
    assert limits_broken(6.0) == {Promise.LIMITED}
    # The gateways learn of the limit from answers, which arrive too late here.
    assert limits_broken(6.0, answer_after_s=9.0) == set()
    paused = [InjectedFault(FaultKind.PAUSE, n, 22.0, 29.0) for n in (0, 1)]
    assert limits_broken(6.0, faults=paused) == set()
    assert limits_broken(12.0, faults=paused[:1]) == {Promise.LIMITED}


def notices_broken(calls_and_arrivals, **trace):
    calls, arrivals = zip(*calls_and_arrivals, strict=True)
    seen = SoakTrace(calls=list(calls), arrivals=list(arrivals), **trace)
    return [violation.promise for violation in check_notices(seen)]


def a_lookup(number, at_s, gateway=0, **arrival):
    times = {"sent_s": at_s, "ended_s": at_s + 0.1}
    call = a_call(number, CallKind.LOOK, gateway=gateway, **times)
    return call, an_arrival(number, at_s=at_s, ended_s=at_s, **arrival)


def test_work_for_an_endpoint_that_said_it_leaves_is_found():
    """Guards against a gateway that goes on sending though it was told, log or not."""
    told = a_lookup(1, 20.0, said_leaving="1")
    away = [InjectedFault(FaultKind.LOG_REFUSES, "log", 19.0, 30.0)]
    assert notices_broken([told, a_lookup(2, 22.0)], faults=away) == []
    late = [told, a_lookup(3, 22.2)]
    assert notices_broken(late, faults=away) == [Promise.DRAINED]
    assert notices_broken([told, a_lookup(3, 22.2, gateway=1)]) == []
    assert notices_broken([told, a_lookup(3, 22.2, instance="i-1")]) == []
    restarted = [InjectedFault(FaultKind.KILL, 0, 21.0, 21.5)]
    assert notices_broken(late, faults=restarted) == []


def test_requests_within_a_rest_are_found():
    """Guards against a gateway that goes on sending to an endpoint that rests."""
    asked = a_lookup(1, 20.0, ran=False, retry_after="3.0")
    few = [asked, *(a_lookup(n, 20.0 + 0.1 * n) for n in (2, 3, 4, 6, 7))]
    many = [*few, a_lookup(8, 22.9)]
    assert notices_broken(few) == []
    assert notices_broken(many) == [Promise.RESTED]
    assert notices_broken([*few, a_lookup(8, 23.1)]) == []
    for kind, subject in ((FaultKind.PAUSE, 0), (FaultKind.ENDPOINT_MUTE, "i-0")):
        held = [InjectedFault(kind, subject, 21.0, 21.5)]
        assert notices_broken(many, faults=held) == []
    assert notices_broken(many, stalls=[(21.0, 21.5)]) == []


def test_a_change_that_is_not_in_force_in_time_is_found():
    """Guards against a gateway in touch that still serves by an older catalogue."""
    run = [a_lookup(1, 20.0)]
    assert notices_broken(run, revoked_s={KEY: 17.9}) == [Promise.IN_FORCE]
    assert notices_broken(run, revoked_s={KEY: 18.1}) == []
    away = [InjectedFault(FaultKind.LOG_REFUSES, "log", 15.0, 17.1)]
    assert notices_broken(run, revoked_s={KEY: 17.9}, faults=away) == []


def load_broken(calls, **trace):
    return [v.promise for v in check_load(SoakTrace(calls=calls, **trace))]


def test_a_refusal_by_overload_control_that_ran_or_misleads_is_found():
    """Guards against refusals of sent requests, and callers told to return too late."""
    refused = {"status": 503, "body": b'{"detail":"the service is overloaded"}'}
    for value in (None, "", "x", "nan", "1", "0.00", "-0.10", "1.01"):
        assert load_broken([a_call(**refused, retry_after=value)]) == [Promise.REFUSED]
    call = a_call(**refused, retry_after="1.00")
    assert load_broken([call]) == []
    assert load_broken([call], arrivals=[an_arrival()]) == [Promise.REFUSED]


def test_an_organisation_that_is_never_served_is_found():
    """Guards against a level that shuts an organisation out."""
    shut_out = [a_call(n, key="key-1", status=503) for n in range(20)]
    assert load_broken([a_call(), *shut_out]) == [Promise.MINIMUM_SHARE]
    assert load_broken(shut_out) == load_broken([a_call(), *shut_out[1:]]) == []
    assert load_broken([a_call(), *shut_out], revoked_s={"key-1": 9.0}) == []


def test_an_answer_that_neither_ends_nor_breaks_off_is_found():
    """Guards against a gateway that forgets an answer which its caller reads late."""
    stuck = {"complete": False, "body": b"id: 1"}
    assert load_broken([a_call(**stuck, read_pause_s=1.0)]) == [Promise.READ_ON]
    for changes in ({"read_pause_s": math.inf}, {"read_pause_s": 1.0, "closed": True}):
        assert load_broken([a_call(**stuck, **changes)]) == []
