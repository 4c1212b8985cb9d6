"""Quarantine of what several requests share, simulated without a network."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciacove.decisions.clearances import CLEARED_RETENTION_S, SHARED_CLEARANCE_S
from acaciacove.decisions.crash_key import is_shared, shared_crash_key
from acaciacove.decisions.request_quarantine import (
    MAX_TRIALS,
    PROOF_WAIT_S,
    QUARANTINE_DURATION_S,
    SHARED_QUARANTINE_S,
    RequestQuarantine,
)
from acaciacove.decisions.request_status import RequestStatus
from acaciacove.decisions.request_trials import TRIAL_TIMEOUT_S
from acaciacove.messages.request_verdict import CLEARED, QUARANTINED, RequestVerdict

BAD, FIRST, MIDDLE = (shared_crash_key(n) for n in (1, 2, 3))
FREE, TRIAL = RequestStatus.FREE, RequestStatus.TRIAL
WAITING, HELD = RequestStatus.WAITING, RequestStatus.QUARANTINED


def crash(quarantine, endpoint, *keys, at_s=0.0):
    """Crash an endpoint with the keys in flight, and a request of its own."""
    quarantine.record_crash(endpoint, [endpoint * 1000, *keys], at_s)


def suspect_bad(quarantine=None):
    quarantine = quarantine or RequestQuarantine()
    for endpoint in (1, 2, 3):
        crash(quarantine, endpoint, BAD)
    assert quarantine.status(BAD, PROOF_WAIT_S) is TRIAL
    return quarantine


@given(st.integers(0, 2**64 - 1))
@settings(max_examples=50, derandomize=True)
def test_shared_keys_are_recognised(digest):
    key = shared_crash_key(digest)
    assert is_shared(key) and key < 2**64
    assert not is_shared(digest & 2**48 - 1)


def test_shared_key_of_three_crashes_is_suspected_if_nothing_clears_it():
    """Guards against a prompt part that crashes endpoints and is never known."""
    quarantine = RequestQuarantine()
    for endpoint in (1, 2, 3):
        crash(quarantine, endpoint, BAD)
        assert quarantine.status(BAD, 0.0) is FREE
    assert quarantine.status(BAD, PROOF_WAIT_S) is TRIAL


def test_shared_key_that_is_served_after_a_zone_failure_is_not_suspected():
    """Guards against callers who are refused for a part that many requests have."""
    quarantine = RequestQuarantine()
    for endpoint in range(1, 6):
        crash(quarantine, endpoint, FIRST, MIDDLE)
    quarantine.clear(FIRST, 0.5)
    for endpoint in range(1, 6):
        # Other gateways report the same crashes later.
        crash(quarantine, endpoint, FIRST, at_s=3.0)
    assert quarantine.status(FIRST, 9.0) is FREE
    assert quarantine.status(MIDDLE, 9.0) is TRIAL


def test_shared_key_of_one_request_is_not_blamed_for_it():
    """Guards against sound requests that are held back for one bad request."""
    quarantine = RequestQuarantine()
    for endpoint in (1, 2, 3):
        quarantine.record_crash(endpoint, (7, FIRST, MIDDLE), 0.0)
    assert quarantine.status(7, 9.0) is TRIAL
    assert quarantine.status(FIRST, 9.0) is quarantine.status(MIDDLE, 9.0) is FREE


def test_shared_key_of_fewer_crashes_is_explained_by_the_likelier_one():
    """Guards against sound parts that were in flight beside the crashing one."""
    quarantine = RequestQuarantine()
    for endpoint in range(1, 7):
        crash(quarantine, endpoint, BAD, *((MIDDLE,) if endpoint > 2 else ()))
    assert quarantine.status(MIDDLE, 9.0) is FREE
    assert quarantine.status(BAD, 0.0) is FREE
    assert quarantine.status(BAD, 9.0) is TRIAL


def test_trial_holds_no_second_suspect():
    """Guards against a sound part that is blamed for the crash of a trial."""
    quarantine = RequestQuarantine()
    for endpoint in (1, 2, 3):
        crash(quarantine, endpoint, BAD, FIRST)
    for key in (BAD, FIRST):
        quarantine.status(key, 0.0)
    assert quarantine.assess((50, BAD, FIRST), 9.0).status is WAITING
    alone = quarantine.assess((51, FIRST, MIDDLE), 9.0)
    assert (alone.status, alone.key) == (TRIAL, FIRST)
    quarantine.clear(FIRST, 9.5)
    found = quarantine.assess((52, BAD, FIRST), 10.0)
    assert (found.status, found.key) == (TRIAL, BAD)


def test_shared_key_that_crashes_its_trial_is_quarantined_with_what_it_explains():
    quarantine = RequestQuarantine()
    for endpoint in (1, 2, 3):
        crash(quarantine, endpoint, BAD, FIRST)
    for key in (BAD, FIRST):
        quarantine.status(key, 0.0)
        quarantine.status(key, PROOF_WAIT_S)
    quarantine.trials.claim(BAD, 9, 1, 2.0)
    crash(quarantine, 9, BAD, at_s=2.1)
    assert quarantine.assess((60, BAD), 2.2).status is HELD
    assert quarantine.assess((61, FIRST), 2.2).status is FREE


def test_attempts_with_a_crashing_key_are_limited_for_a_day():
    """Guards against a new wave of crashes each time that a quarantine ends."""
    quarantine, now_s, sent = suspect_bad(), PROOF_WAIT_S, 0
    while now_s < QUARANTINE_DURATION_S:
        if quarantine.assess((70, BAD), now_s).status is TRIAL:
            quarantine.trials.claim(BAD, 100 + sent, 1, now_s)
            crash(quarantine, 100 + sent, BAD, at_s=now_s)
            sent += 1
        now_s += 10.0
    assert sent == 2


def test_trials_of_a_shared_key_without_a_result_are_limited():
    """Guards against endless trials whose connections are cut."""
    quarantine, now_s = suspect_bad(), 2.0
    for number in range(MAX_TRIALS):
        quarantine.trials.claim(BAD, 20 + number, 5, now_s)
        assert quarantine.status(BAD, now_s + 0.1) is WAITING
        assert quarantine.trials.release(BAD, 5, now_s + 0.2)
        assert quarantine.trials.release(BAD, 5, now_s + 0.2) is None
        now_s += 0.3
    assert quarantine.status(BAD, now_s) is HELD
    assert quarantine.retry_after_s(BAD, now_s) == SHARED_QUARANTINE_S


def test_released_trial_is_known_to_peers():
    """Guards against callers who wait for a trial that has ended without a result."""
    one, other = suspect_bad(), suspect_bad()
    assert other.apply(one.trials.claim(BAD, 9, 5, 2.0), 2.01)
    assert other.status(BAD, 2.1) is WAITING
    assert other.apply(one.trials.release(BAD, 5, 2.2), 2.21)
    assert other.status(BAD, 2.3) is TRIAL
    assert TRIAL_TIMEOUT_S > 1.0


def test_crashes_after_a_clearance_count():
    """Guards against a part that begins to crash endpoints after it was served."""
    quarantine = suspect_bad()
    quarantine.clear(BAD, 2.0)
    later_s = 2.0 + SHARED_CLEARANCE_S
    for endpoint in (1, 2, 3, 4, 5, 6):
        crash(quarantine, endpoint, BAD, at_s=later_s)
    assert quarantine.evidence.crash_count(BAD) == 3
    assert quarantine.status(BAD, later_s + PROOF_WAIT_S) is TRIAL


def test_older_quarantine_of_a_cleared_key_is_not_applied():
    """Guards against a verdict that goes round and holds back a cleared part."""
    quarantine = suspect_bad()
    quarantine.clear(BAD, 10.0)
    older = RequestVerdict(BAD, QUARANTINED, left_s=SHARED_QUARANTINE_S - 5.0)
    newer = RequestVerdict(BAD, QUARANTINED, left_s=SHARED_QUARANTINE_S - 1.0)
    assert not quarantine.apply(older, 12.0)
    assert quarantine.status(BAD, 12.0) is FREE
    assert quarantine.apply(newer, 12.0)
    assert quarantine.status(BAD, 12.0) is HELD


def test_older_clearance_does_not_end_a_quarantine():
    """Guards against a clearance that goes round and frees a part that turned bad."""
    quarantine = suspect_bad()
    quarantine.trials.claim(BAD, 9, 1, 40.0)
    crash(quarantine, 9, BAD, at_s=40.0)
    older = RequestVerdict(BAD, CLEARED, left_s=CLEARED_RETENTION_S - 10.0)
    newer = RequestVerdict(BAD, CLEARED, left_s=CLEARED_RETENTION_S - 1.0)
    assert not quarantine.apply(older, 45.0)
    assert quarantine.status(BAD, 45.0) is HELD
    assert quarantine.apply(newer, 45.0)
    assert quarantine.status(BAD, 45.0) is FREE


def test_clearances_of_a_shared_key_end():
    """Guards against gateways that renew a clearance between each other for ever."""
    one, other = suspect_bad(), suspect_bad()
    one.clear(BAD, 2.0)
    for step in range(int(20 * CLEARED_RETENTION_S)):
        now_s = 2.0 + step / 10.0
        for sender, receiver in ((one, other), (other, one)):
            for verdict in sender.verdicts(now_s):
                receiver.apply(verdict, now_s + 0.05)
    assert one.verdicts(now_s) == other.verdicts(now_s) == []


@pytest.mark.parametrize("number", [1, 3, 40])
def test_order_in_which_gateways_learn_does_not_matter(number):
    """Guards against gateways that blame different parts for the same crashes."""
    reports = [(n, BAD) for n in range(1, 6)] + [(n, MIDDLE) for n in (2, 3, 4)]
    shift = number % len(reports)
    quarantine = RequestQuarantine()
    for endpoint, key in reports[shift:] + reports[:shift]:
        crash(quarantine, endpoint, key)
    quarantine.status(BAD, 0.0)
    assert quarantine.status(BAD, 9.0) is TRIAL
    assert quarantine.status(MIDDLE, 9.0) is FREE


def test_part_that_was_served_before_is_not_held_back_beside_a_crashing_one():
    """Guards against sound requests that pay while no endpoint is left to serve them.

    The crashing part takes all endpoints down, and one crash of another cause comes
    before. The first part of all requests is in flight at each crash.
    """
    quarantine = RequestQuarantine()
    quarantine.record_served((FIRST, MIDDLE), 0.0)
    crash(quarantine, 1, FIRST, at_s=2.0)
    for endpoint in (2, 3, 4, 5):
        crash(quarantine, endpoint, FIRST, BAD, at_s=3.0)
    for now_s in (3.1, 9.0):
        assert quarantine.assess((50, FIRST, MIDDLE), now_s).status is FREE
    assert quarantine.assess((51, FIRST, BAD), 9.0).status is TRIAL


def test_part_of_all_requests_is_not_held_back_when_all_endpoints_are_down():
    """Guards against sound requests that are refused for crashes without one cause.

    The three endpoints of a service crash one after the other, and for seconds there
    is none that could serve a request and clear the part.
    """
    quarantine = RequestQuarantine()
    quarantine.record_served((FIRST, MIDDLE), 0.0)
    for endpoint in (1, 2, 3):
        crash(quarantine, endpoint, FIRST, at_s=2.0)
    for now_s in (2.1, 9.0):
        assert quarantine.assess((50, FIRST, MIDDLE), now_s).status is FREE


def test_part_that_was_served_before_and_now_crashes_endpoints_is_suspected():
    """Guards against a part that turns bad, for instance with a new version."""
    quarantine = RequestQuarantine()
    quarantine.record_served((BAD, FIRST), 0.0)
    for endpoint in range(1, 6):
        crash(quarantine, endpoint, BAD, *((FIRST,) if endpoint < 4 else ()), at_s=2.0)
    quarantine.status(BAD, 2.0)
    assert quarantine.status(BAD, 4.0) is TRIAL
    assert quarantine.status(FIRST, 4.0) is FREE
