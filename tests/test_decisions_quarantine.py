"""Quarantine of requests after endpoint crashes, simulated without a network."""

import time
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciacove.decisions.clearances import CLEARED_RETENTION_S
from acaciacove.decisions.crash_evidence import MAX_CRASHES, CrashEvidence
from acaciacove.decisions.request_quarantine import (
    MAX_ENTRIES,
    MAX_TRIALS,
    QUARANTINE_DURATION_S,
    RequestQuarantine,
)
from acaciacove.decisions.request_status import RequestStatus
from acaciacove.decisions.request_trials import TRIAL_TIMEOUT_S
from acaciacove.gateway.catalogue.endpoint import Endpoint
from acaciacove.gateway.event_log import EventLog
from acaciacove.gateway.peers.gossip_sender import GossipSender
from acaciacove.gateway.peers.peer import Peer
from acaciacove.gateway.peers.peer_network import BUSY_REPORT_INTERVAL_S
from acaciacove.gateway.peers.request_gossip import BUSY_AFTER_UPDATE_S, RequestGossip
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


def quarantine_after_crashes(*fingerprints, times=3, quarantine=None):
    quarantine = quarantine or RequestQuarantine()
    for endpoint in range(1, times + 1):
        quarantine.record_crash(endpoint, fingerprints, 0.0)
    return quarantine


def test_request_in_flight_at_three_crashes_gets_one_trial_at_a_time():
    quarantine = quarantine_after_crashes(BAD, times=2)
    assert quarantine.status(BAD, 0.0) is RequestStatus.FREE
    quarantine_after_crashes(BAD, quarantine=quarantine)
    assert quarantine.status(BAD, 0.0) is RequestStatus.TRIAL
    quarantine.trials.claim(BAD, 9, 1, 0.0)
    assert quarantine.status(BAD, 0.0) is RequestStatus.WAITING
    assert quarantine.status(OTHER, 0.0) is RequestStatus.FREE


def test_request_that_crashes_its_trial_endpoint_is_quarantined():
    quarantine = quarantine_after_crashes(BAD)
    quarantine.trials.claim(BAD, 9, 1, 0.0)
    quarantine.record_crash(8, (BAD,), 0.1)
    assert quarantine.status(BAD, 0.2) is RequestStatus.WAITING
    quarantine.record_crash(9, (BAD,), 0.1)
    assert quarantine.status(BAD, 0.2) is RequestStatus.QUARANTINED
    assert quarantine.retry_after_s(BAD, 0.2) == pytest.approx(
        QUARANTINE_DURATION_S, abs=1
    )
    assert quarantine.status(BAD, QUARANTINE_DURATION_S + 1) is RequestStatus.FREE


def test_trials_without_a_result_are_limited():
    """Guards against endless trials of a request whose crashes are not observed.

    This happens when the network path to the crashed endpoint is broken.
    """
    quarantine, now_s = quarantine_after_crashes(BAD), 0.0
    for number in range(MAX_TRIALS):
        quarantine.trials.claim(BAD, number + 10, 1, now_s)
        now_s += TRIAL_TIMEOUT_S
    assert quarantine.status(BAD, now_s) is RequestStatus.QUARANTINED


def test_request_that_shared_endpoints_with_the_culprit_is_not_suspected():
    """Guards against suspecting requests that only shared endpoints with another."""
    quarantine = RequestQuarantine()
    quarantine.record_crash(1, (BAD,), 0.0)
    for endpoint in (2, 3, 4):
        quarantine.record_crash(endpoint, (OTHER, BAD), 0.0)
    assert quarantine.status(BAD, 0.0) is RequestStatus.TRIAL
    assert quarantine.status(OTHER, 0.0) is RequestStatus.FREE


def test_served_request_stays_cleared_when_old_crashes_are_reported_again():
    """Guards against crashes of other causes adding up for a repeated request."""
    quarantine = quarantine_after_crashes(BAD)
    assert quarantine.clear(BAD, 1.0)
    assert quarantine_after_crashes(BAD, quarantine=quarantine).status(BAD, 1.0) is (
        RequestStatus.FREE
    )
    (verdict,) = quarantine.verdicts(2.0)
    assert verdict == RequestVerdict(BAD, CLEARED, left_s=CLEARED_RETENTION_S - 1.0)
    assert quarantine.verdicts(2.0 + CLEARED_RETENTION_S) == []


def test_order_of_crash_reports_does_not_matter():
    crashes = [CrashSeen(e, (BAD, 100 + e)) for e in range(1, 4)]
    crashes.append(CrashSeen(2, (55,)))
    for seed in range(10):
        quarantine = RequestQuarantine()
        for crash in Random(seed).sample(crashes, len(crashes)):
            quarantine.record_crash(crash.endpoint, crash.suspects, 0.0)
        assert quarantine.status(BAD, 0.0) is RequestStatus.TRIAL
        assert quarantine.status(55, 0.0) is RequestStatus.FREE


def test_stored_evidence_and_verdicts_are_bounded():
    """Guards against memory that grows with each crash and each bad request."""
    quarantine = RequestQuarantine()
    for endpoint in range(3 * MAX_CRASHES):
        quarantine.record_crash(endpoint, range(endpoint, endpoint + 999), 0.0)
    evidence = quarantine.evidence
    assert len(evidence._suspects) == MAX_CRASHES
    assert set(evidence._crashes) == {f for s in evidence._suspects.values() for f in s}
    for fingerprint in range(10**6, 10**6 + 2 * MAX_ENTRIES):
        quarantine.apply(RequestVerdict(fingerprint, QUARANTINED, left_s=9.0), 0.0)
        quarantine.suspect(2 * fingerprint)
    assert quarantine.quarantined_count == MAX_ENTRIES
    assert len(quarantine.verdicts(0.0)) <= 2 * MAX_ENTRIES


def test_a_short_quarantine_behind_a_long_one_ends_in_time():
    """Guards against a caller that is told to come back before now."""
    quarantine = RequestQuarantine()
    quarantine.apply(RequestVerdict(BAD, QUARANTINED, left_s=1000.0), 0.0)
    quarantine.apply(RequestVerdict(OTHER, QUARANTINED, left_s=1.0), 0.0)
    assert quarantine.status(OTHER, 2.0) is RequestStatus.FREE
    assert quarantine.retry_after_s(OTHER, 2.0) > 0
    assert quarantine.status(BAD, 2.0) is RequestStatus.QUARANTINED


@given(
    st.lists(st.tuples(st.integers(0, 9), st.sets(st.integers(0, 9)), st.booleans()))
)
@settings(max_examples=100, derandomize=True)
def test_evidence_counts_each_crash_once(events):
    evidence, expected, exonerated = CrashEvidence(), {}, set()
    for endpoint, suspects, is_served in events:
        evidence.add(endpoint, suspects)
        for fingerprint in suspects:
            if (endpoint, fingerprint) not in exonerated:
                expected.setdefault(fingerprint, set()).add(endpoint)
        if is_served:
            evidence.discard(endpoint)
            crashes = expected.pop(endpoint, set())
            exonerated |= {(crash, endpoint) for crash in crashes}
    for fingerprint in range(10):
        count = len(expected.get(fingerprint, ()))
        assert evidence.crash_count(fingerprint) == count


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
                st.floats(0, QUARANTINE_DURATION_S, width=32),
            ),
            max_size=3,
        ).map(tuple),
    )
)
@settings(max_examples=50, derandomize=True)
def test_request_news_round_trips(news):
    assert decode(encode(news)) == news


class GossipFleet:
    """Gateways that only exchange request gossip; some datagrams are lost."""

    def __init__(self, count, loss):
        self.random = Random(count)
        self.loss = loss
        self.sent_bytes = [0] * count
        self.waiting = []
        self.peers = [Peer(str(n), "10.0.0.1", n, "a", 0.0) for n in range(count)]
        self.gossips = [self._make_gossip(number) for number in range(count)]

    def _make_gossip(self, number):
        guard = RequestGuard(EventLog(str(number), descriptor=None))
        peers = [peer for peer in self.peers if peer.port != number]
        sender = GossipSender(
            members=lambda: peers,
            send=lambda data, peer: self._send(number, data, peer),
            random=Random(f"{number}"),
            clock_s=lambda: 0.0,
        )
        gossip = RequestGossip(sender, guard, sender.random, sender.clock_s)
        guard.send_update = gossip.send_update
        return gossip

    def _send(self, sender, data, peer):
        self.sent_bytes[sender] += len(data)
        if self.random.random() >= self.loss:
            self.waiting.append((peer.port, data))

    def deliver(self):
        while self.waiting:
            number, data = self.waiting.pop(0)
            self.gossips[number].apply(decode(data))

    def report(self):
        for gossip in self.gossips:
            for peer in gossip.random.sample(list(gossip.sender.members()), 4):
                gossip.send_state(peer)
        self.deliver()

    def count_with_status(self, status):
        guards = [gossip.guard for gossip in self.gossips]
        return sum(g.quarantine.status(BAD, 0.0) is status for g in guards)


@pytest.mark.parametrize("gateways", [5, 28, 68, 380])
def test_gossip_of_a_bad_request_reaches_every_gateway_within_its_byte_limit(gateways):
    """Guards against gateways of a large fleet that keep sending the request."""

    async def scenario():
        fleet = GossipFleet(gateways, loss=0.05)
        for endpoint in (1, 2, 3):
            gossip = fleet.gossips[endpoint]
            gossip.guard.quarantine.record_crash(endpoint, (BAD,), 0.0)
            gossip.send_update(
                RequestNews((CrashSeen(endpoint, (BAD, 50 + endpoint)),))
            )
            fleet.deliver()
        for _ in range(int(BUSY_AFTER_UPDATE_S / BUSY_REPORT_INTERVAL_S)):
            fleet.report()
        assert fleet.count_with_status(RequestStatus.TRIAL) == gateways
        # Three crashes cost each gateway less than its control bytes of one second.
        assert max(fleet.sent_bytes) < 3_000

    run_virtual(scenario)


def test_bad_request_among_hundreds_of_lost_requests_is_in_the_update():
    """Guards against a full datagram that leaves out the request that matters."""

    async def scenario():
        updates = []
        guard = RequestGuard(EventLog("g", descriptor=None), send_update=updates.append)
        for number in range(3):
            endpoint = make_endpoint(number)
            others = range(1000 * number, 1000 * number + 99)
            guard.record_crash(
                endpoint, [*others, *range(9000, 9200), BAD + 10**6], 0.0
            )
        crash = updates[-1].crashes[0]
        assert crash.suspects[0] == BAD + 10**6
        assert len(encode(updates[-1])) < 1_400
        assert guard.quarantine.status(BAD + 10**6, 0.0) is RequestStatus.TRIAL

    run_virtual(scenario)


def make_endpoint(number):
    return Endpoint(
        instance=f"i-{number}",
        incarnation="1",
        service="app",
        host="10.0.2.1",
        port=9000,
        availability_zone="a",
        version="v1",
        slots=6,
        draining=False,
        cold_until_s=0.0,
    )


def test_gossip_of_a_cleared_request_ends():
    """Guards against gateways that renew a clearance between each other for ever.

    They would ignore new crashes of the request all the time.
    """
    one, other = quarantine_after_crashes(BAD), quarantine_after_crashes(BAD)
    one.clear(BAD, 0.0)
    for step in range(int(20 * CLEARED_RETENTION_S)):
        now_s = step / 10.0
        for sender, receiver in ((one, other), (other, one)):
            for verdict in sender.verdicts(now_s):
                receiver.apply(verdict, now_s + 0.05)
    assert one.verdicts(now_s) == other.verdicts(now_s) == []


def test_gateway_that_serves_a_request_removes_its_record_from_the_log():
    """Guards against stale records of requests that were cleared after a restart."""

    async def scenario():
        guard = RequestGuard(EventLog("g", descriptor=None))
        guard.restore(RequestRecord(BAD, False, time.time() + 99.0), 0.0)
        assert guard.quarantine.status(BAD, 0.0) is RequestStatus.TRIAL
        guard.record_served((BAD,), 1.0)
        assert guard.pending_records == {BAD: None}

    run_virtual(scenario)


def test_lower_of_two_claims_wins_the_trial_in_either_order():
    one, other = quarantine_after_crashes(BAD), quarantine_after_crashes(BAD)
    first = one.trials.claim(BAD, 11, 500, 0.0)
    second = other.trials.claim(BAD, 12, 400, 0.0)
    assert one.apply(second, 0.001) and not other.apply(first, 0.001)
    assert not one.trials.holds(BAD, 500) and other.trials.holds(BAD, 400)
    third = quarantine_after_crashes(BAD)
    third.apply(first, 0.0)
    third.apply(second, 0.0)
    assert third.trials.holds(BAD, 400)
