"""Quarantine of requests after endpoint crashes, simulated without a network."""

import time
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciacove.decisions.crash_evidence import MAX_CRASHES, CrashEvidence
from acaciacove.decisions.request_quarantine import (
    CLEARED_S,
    MAX_HELD,
    MAX_TRIALS,
    QUARANTINE_S,
    TRIAL_S,
    RequestQuarantine,
)
from acaciacove.decisions.request_standing import RequestStanding
from acaciacove.gateway.catalogue.endpoint import Endpoint
from acaciacove.gateway.event_log import EventLog
from acaciacove.gateway.peers.peer import Peer
from acaciacove.gateway.peers.peer_network import BUSY_EVERY_S
from acaciacove.gateway.peers.request_talk import NEWS_S, RequestTalk
from acaciacove.gateway.peers.tell_few import TellFew
from acaciacove.gateway.quarantine.request_guard import RequestGuard
from acaciacove.gateway.quarantine.request_record import RequestRecord
from acaciacove.messages.crash_seen import CrashSeen
from acaciacove.messages.request_news import RequestNews
from acaciacove.messages.request_verdict import (
    CLEARED,
    QUARANTINED,
    TRIED,
    RequestVerdict,
)
from acaciacove.wire.codec import decode, encode
from tests.virtual import run_virtual

BAD, OTHER = 7, 8
NUMBERS = st.integers(0, 2**32 - 1)
LONG_NUMBERS = st.integers(0, 2**64 - 1)


def crashed_under(*fingerprints, times=3, quarantine=None):
    quarantine = quarantine or RequestQuarantine()
    for endpoint in range(1, times + 1):
        quarantine.note_crash(endpoint, fingerprints, 0.0)
    return quarantine


def test_a_request_under_three_crashes_may_be_tried_by_one_at_a_time():
    quarantine = crashed_under(BAD, times=2)
    assert quarantine.standing(BAD, 0.0) is RequestStanding.FREE
    crashed_under(BAD, quarantine=quarantine)
    assert quarantine.standing(BAD, 0.0) is RequestStanding.TRIAL
    quarantine.claim_trial(BAD, 9, 1, 0.0)
    assert quarantine.standing(BAD, 0.0) is RequestStanding.WAITING
    assert quarantine.standing(OTHER, 0.0) is RequestStanding.FREE


def test_a_request_that_crashes_the_endpoint_of_its_try_is_quarantined():
    quarantine = crashed_under(BAD)
    quarantine.claim_trial(BAD, 9, 1, 0.0)
    quarantine.note_crash(8, (BAD,), 0.1)
    assert quarantine.standing(BAD, 0.2) is RequestStanding.WAITING
    quarantine.note_crash(9, (BAD,), 0.1)
    assert quarantine.standing(BAD, 0.2) is RequestStanding.QUARANTINED
    assert quarantine.retry_after_s(BAD, 0.2) == pytest.approx(QUARANTINE_S, abs=1)
    assert quarantine.standing(BAD, QUARANTINE_S + 1) is RequestStanding.FREE


def test_a_request_whose_tries_have_no_clear_end_is_not_tried_for_ever():
    """Guards against endless trials of a request whose crashes are not observed.

    This happens when the network path to the crashed endpoint is broken.
    """
    quarantine, now_s = crashed_under(BAD), 0.0
    for number in range(MAX_TRIALS):
        quarantine.claim_trial(BAD, number + 10, 1, now_s)
        now_s += TRIAL_S
    assert quarantine.standing(BAD, now_s) is RequestStanding.QUARANTINED


def test_a_request_beside_the_one_that_crashes_endpoints_is_not_taken_for_it():
    """Guards against suspecting requests that only shared endpoints with another."""
    quarantine = RequestQuarantine()
    quarantine.note_crash(1, (BAD,), 0.0)
    for endpoint in (2, 3, 4):
        quarantine.note_crash(endpoint, (OTHER, BAD), 0.0)
    assert quarantine.standing(BAD, 0.0) is RequestStanding.TRIAL
    assert quarantine.standing(OTHER, 0.0) is RequestStanding.FREE


def test_a_served_request_is_cleared_of_old_crashes_that_are_told_again():
    """Guards against crashes of other causes adding up for a repeated request."""
    quarantine = crashed_under(BAD)
    assert quarantine.clear(BAD, 1.0)
    assert crashed_under(BAD, quarantine=quarantine).standing(BAD, 1.0) is (
        RequestStanding.FREE
    )
    (verdict,) = quarantine.verdicts(2.0)
    assert verdict == RequestVerdict(BAD, CLEARED, left_s=CLEARED_S - 1.0)
    assert quarantine.verdicts(2.0 + CLEARED_S) == []


def test_gateways_that_were_told_the_same_in_any_order_hold_the_same():
    crashes = [CrashSeen(e, (BAD, 100 + e)) for e in range(1, 4)]
    crashes.append(CrashSeen(2, (55,)))
    for seed in range(10):
        quarantine = RequestQuarantine()
        for crash in Random(seed).sample(crashes, len(crashes)):
            quarantine.note_crash(crash.endpoint, crash.suspects, 0.0)
        assert quarantine.standing(BAD, 0.0) is RequestStanding.TRIAL
        assert quarantine.standing(55, 0.0) is RequestStanding.FREE


def test_what_is_remembered_is_bounded():
    """Guards against memory that grows with each crash and each bad request."""
    quarantine = RequestQuarantine()
    for endpoint in range(3 * MAX_CRASHES):
        quarantine.note_crash(endpoint, range(endpoint, endpoint + 999), 0.0)
    evidence = quarantine.evidence
    assert len(evidence._suspects) == MAX_CRASHES
    assert set(evidence._crashes) == {f for s in evidence._suspects.values() for f in s}
    for fingerprint in range(10**6, 10**6 + 2 * MAX_HELD):
        quarantine.take(RequestVerdict(fingerprint, QUARANTINED, left_s=9.0), 0.0)
        quarantine.suspect(2 * fingerprint)
    assert quarantine.held == MAX_HELD
    assert len(quarantine.verdicts(0.0)) <= 2 * MAX_HELD


@given(
    st.lists(st.tuples(st.integers(0, 9), st.sets(st.integers(0, 9)), st.booleans()))
)
@settings(max_examples=100, derandomize=True)
def test_evidence_counts_each_crash_once(events):
    evidence, expected = CrashEvidence(), {}
    for endpoint, suspects, forget in events:
        evidence.add(endpoint, suspects)
        for fingerprint in suspects:
            expected.setdefault(fingerprint, set()).add(endpoint)
        if forget:
            evidence.forget(endpoint)
            expected.pop(endpoint, None)
    for fingerprint in range(10):
        count = len(expected.get(fingerprint, ()))
        assert evidence.crashes_under(fingerprint) == count


@given(
    st.builds(
        RequestNews,
        crashes=st.lists(
            st.builds(CrashSeen, NUMBERS, st.lists(LONG_NUMBERS).map(tuple)), max_size=3
        ).map(tuple),
        verdicts=st.lists(
            st.builds(
                RequestVerdict,
                LONG_NUMBERS,
                st.sampled_from([TRIED, QUARANTINED, CLEARED]),
                st.integers(0, 9),
                NUMBERS,
                st.floats(0, QUARANTINE_S, width=32),
            ),
            max_size=3,
        ).map(tuple),
    )
)
@settings(max_examples=50, derandomize=True)
def test_news_of_requests_is_read_as_it_was_written(news):
    assert decode(encode(news)) == news


class Talkers:
    """Gateways that only exchange request gossip; some datagrams are lost."""

    def __init__(self, count, loss):
        self.random = Random(count)
        self.loss = loss
        self.sent_bytes = [0] * count
        self.waiting = []
        self.peers = [Peer(str(n), "10.0.0.1", n, "a", 0.0) for n in range(count)]
        self.talks = [self._talk(number) for number in range(count)]

    def _talk(self, number):
        guard = RequestGuard(EventLog(str(number), descriptor=None))
        others = [peer for peer in self.peers if peer.port != number]
        few = TellFew(
            members=lambda: others,
            send=lambda data, peer: self._send(number, data, peer),
            random=Random(f"{number}"),
            clock_s=lambda: 0.0,
        )
        talk = RequestTalk(few, guard, few.random, few.clock_s)
        guard.tell = talk.tell
        return talk

    def _send(self, sender, data, peer):
        self.sent_bytes[sender] += len(data)
        if self.random.random() >= self.loss:
            self.waiting.append((peer.port, data))

    def deliver(self):
        while self.waiting:
            number, data = self.waiting.pop(0)
            self.talks[number].take(decode(data))

    def report(self):
        for talk in self.talks:
            for peer in talk.random.sample(list(talk.few.members()), 4):
                talk.tell_some(peer)
        self.deliver()

    def knowing(self, standing):
        guards = [talk.guard for talk in self.talks]
        return sum(g.quarantine.standing(BAD, 0.0) is standing for g in guards)


@pytest.mark.parametrize("gateways", [5, 28, 68, 380])
def test_word_of_a_bad_request_reaches_every_gateway_within_its_bytes(gateways):
    """Guards against gateways of a large fleet that keep sending the request."""

    async def scenario():
        fleet = Talkers(gateways, loss=0.05)
        for endpoint in (1, 2, 3):
            talk = fleet.talks[endpoint]
            talk.guard.quarantine.note_crash(endpoint, (BAD,), 0.0)
            talk.tell(RequestNews((CrashSeen(endpoint, (BAD, 50 + endpoint)),)))
            fleet.deliver()
        for _ in range(int(NEWS_S / BUSY_EVERY_S)):
            fleet.report()
        assert fleet.knowing(RequestStanding.TRIAL) == gateways
        # Three crashes cost each gateway less than its control bytes of one second.
        assert max(fleet.sent_bytes) < 3_000

    run_virtual(scenario)


def test_a_bad_request_among_hundreds_that_were_lost_with_an_endpoint_is_told():
    """Guards against a full datagram that leaves out the request that matters."""

    async def scenario():
        updates = []
        guard = RequestGuard(EventLog("g", descriptor=None), tell=updates.append)
        for number in range(3):
            endpoint = make_endpoint(number)
            others = range(1000 * number, 1000 * number + 99)
            guard.note_crash(endpoint, [*others, *range(9000, 9200), BAD + 10**6], 0.0)
        crash = updates[-1].crashes[0]
        assert crash.suspects[0] == BAD + 10**6
        assert len(encode(updates[-1])) < 1_400
        assert guard.quarantine.standing(BAD + 10**6, 0.0) is RequestStanding.TRIAL

    run_virtual(scenario)


def make_endpoint(number):
    return Endpoint(
        instance=f"i-{number}",
        generation="1",
        service="app",
        host="10.0.2.1",
        port=9000,
        availability_zone="a",
        version="v1",
        slots=6,
        leaving=False,
        cold_until_s=0.0,
    )


def test_word_of_a_cleared_request_ends():
    """Guards against gateways that renew a clearance between each other for ever.

    They would ignore new crashes of the request all the time.
    """
    one, other = crashed_under(BAD), crashed_under(BAD)
    one.clear(BAD, 0.0)
    for step in range(int(20 * CLEARED_S)):
        now_s = step / 10.0
        for sender, receiver in ((one, other), (other, one)):
            for verdict in sender.verdicts(now_s):
                receiver.take(verdict, now_s + 0.05)
    assert one.verdicts(now_s) == other.verdicts(now_s) == []


def test_who_serves_a_request_takes_its_record_off_the_log():
    """Guards against stale records of requests that were cleared after a restart."""

    async def scenario():
        guard = RequestGuard(EventLog("g", descriptor=None))
        guard.restore(RequestRecord(BAD, False, time.time() + 99.0), 0.0)
        assert guard.quarantine.standing(BAD, 0.0) is RequestStanding.TRIAL
        guard.note_served(BAD, 1.0)
        assert guard.pending_records == {BAD: None}

    run_virtual(scenario)


def test_the_lower_of_two_claims_has_the_try_in_whatever_order_they_are_told():
    one, other = crashed_under(BAD), crashed_under(BAD)
    first = one.claim_trial(BAD, 11, 500, 0.0)
    second = other.claim_trial(BAD, 12, 400, 0.0)
    assert one.take(second, 0.001) and not other.take(first, 0.001)
    assert not one.has_trial(BAD, 500) and other.has_trial(BAD, 400)
    third = crashed_under(BAD)
    third.take(first, 0.0)
    third.take(second, 0.0)
    assert third.has_trial(BAD, 400)
