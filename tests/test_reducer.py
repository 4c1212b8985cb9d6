"""The reducer and the fleet store: equal records yield equal states."""

from random import Random

from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciacove.adapters.log_entry import LogEntry
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.organisation import Organisation
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId
from acaciacove.messages.record import Record as PeerRecord
from acaciacove.messages.records import Records
from acaciacove.state.exposure_record import ExposureRecord
from acaciacove.state.fleet_store import FleetStore
from acaciacove.state.instance_decision import InstanceDecision
from acaciacove.state.quarantine_record import QuarantineRecord
from acaciacove.state.record_codec import decode_record, encode_record
from acaciacove.state.reducer import fold
from acaciacove.state.release_note import ReleaseNote
from acaciacove.state.snapshot import Snapshot
from acaciacove.state.snapshot_schedule import SnapshotSchedule
from acaciacove.state.verdict import Verdict
from acaciacove.state.zone_decision import ZoneDecision

OLD = VersionId("guide-small", "1")
NEW = VersionId("guide-small", "2")
FIRST = ReleaseNote("a", -1, versions=(Version(OLD, "guide", 1.0),))

names = st.sampled_from(["ozark", "gulfcoast"])
ids = st.sampled_from(["d1", "d2", "d3", "d4", "d5"])
versions = st.sampled_from([OLD, NEW])
plans = st.lists(
    st.one_of(
        st.builds(
            ReleaseNote,
            ids,
            st.integers(-1, 12),
            versions=versions.map(lambda v: (Version(v, "guide", 1.0),)),
            withdrawn=st.lists(versions, max_size=1).map(tuple),
            organisations=st.just((Organisation("kiosk"),)),
            organisations_removed=st.sampled_from([(), ("kiosk",), ("other",)]),
        ),
        st.builds(ZoneDecision, ids, names, st.booleans()),
        st.builds(InstanceDecision, ids, names, st.booleans()),
        st.builds(QuarantineRecord, versions, st.just("slow"), st.just("entry-1"),
                  st.integers(-1, 12)),
        st.sampled_from(["valid snapshot", "older snapshot", "wrong snapshot",
                         "junk"]),
    ),
    max_size=25,
)  # fmt: skip


def create_log(plan):
    """Create a log from a plan; what a snapshot covers depends on its offset."""
    states, payloads = [FleetState()], []
    for offset, step in enumerate(plan):
        record = {
            "valid snapshot": Snapshot(states[-1]),
            "older snapshot": Snapshot(states[len(states) // 2]),
            "wrong snapshot": Snapshot(evolve(states[-1], revision=offset + 3)),
            "junk": None,
        }.get(step, step) if isinstance(step, str) else step  # fmt: skip
        payloads.append(b"junk" if record is None else encode_record(record))
        states.append(fold(states[-1], offset, record).state)
    return states, payloads


@given(plans, st.randoms(use_true_random=False))
@settings(derandomize=True, deadline=None, max_examples=150)
def test_readers_at_the_same_revision_have_the_same_state(plan, random):
    # Records arrive late, twice, from peers in any order, or have expired and are
    # replaced by snapshots. If two readers had different states at the same revision,
    # one entry could serve a withdrawn version while the other does not.
    states, payloads = create_log(plan)
    full, late = FleetStore(), FleetStore()
    seen = []
    late.add_listener(lambda state: seen.append(state.revision))
    full.offer([LogEntry(i, p) for i, p in enumerate(payloads)])
    assert full.state == states[-1]
    earliest = random.randint(0, len(payloads))
    retained = [LogEntry(i, p) for i, p in enumerate(payloads)][earliest:]
    for _ in range(20):
        if random.random() < 0.5 and retained:
            start = random.randrange(len(retained))
            late.offer(retained[start : start + 4])
        elif random.random() < 0.5:
            late.apply_records(full.records_for(late.pull_if_behind(10**6)))
        else:
            some = [PeerRecord(e.offset, e.payload) for e in retained]
            random.shuffle(some)
            late.apply_records(Records(full.revision, records=tuple(some[:3])))
        expected = states[late.revision + 1]
        assert late.state == expected
        assert list(late.state.versions) == list(expected.versions)
    assert seen == sorted(set(seen))


def test_first_of_two_concurrent_release_notes_wins():
    # Two operators publish notes based on the same release. Without a check, the
    # second would silently undo the first. Instead it must be rejected.
    second = ReleaseNote("b", -1, withdrawn=(OLD,))
    fleet_store = FleetStore()
    notes = [LogEntry(i, encode_record(r)) for i, r in enumerate((FIRST, second))]
    fleet_store.offer(notes)
    assert fleet_store.state.is_usable(OLD)
    assert fleet_store.fold_result_of("a").verdict is Verdict.ACCEPTED
    assert fleet_store.fold_result_of("b").verdict is Verdict.STALE_BASE


def test_records_round_trip():
    snapshot = Snapshot(fold(FleetState(), 0, FIRST).state)
    for record in (FIRST, snapshot):
        assert decode_record(encode_record(record)) == record


def test_duplicate_decision_does_not_undo_a_later_one():
    # The reply to a decision to take a zone out was lost, so its record is appended
    # twice, the second time after another operator has returned the zone to service.
    out = ZoneDecision("d1", "ozark", True)
    state = FleetState()
    for offset, record in enumerate((out, ZoneDecision("d2", "ozark", False), out)):
        state = fold(state, offset, record).state
    assert state.availability_zones_out == frozenset()


def test_release_note_with_unknown_names_changes_nothing():
    state = fold(FleetState(), 0, FIRST).state
    for note in (
        ReleaseNote("b", 0, versions=(Version(NEW, "guide", 1.0),),
                    organisations_removed=("nobody",)),
        ReleaseNote("c", 0, withdrawn=(VersionId("other", "1"),)),
    ):  # fmt: skip
        result = fold(state, 1, note)
        assert result.verdict is Verdict.UNKNOWN_NAME
        assert result.state == evolve(state, revision=1)


def test_redeclared_version_is_usable_despite_old_evidence():
    # A quarantined and withdrawn version is fixed and declared again. A rollout guard
    # that has not read this note yet must not stop it because of old evidence.
    again = ReleaseNote("b", 2, versions=FIRST.versions)
    plan = [
        (FIRST, Verdict.ACCEPTED),
        (QuarantineRecord(OLD, "slow", based_on=0), Verdict.ACCEPTED),
        (ReleaseNote("w", 0, withdrawn=(OLD,)), Verdict.ACCEPTED),
        (again, Verdict.ACCEPTED),
        (QuarantineRecord(OLD, "slow", based_on=2), Verdict.STALE_BASE),
    ]
    state = FleetState()
    for offset, (record, verdict) in enumerate(plan):
        result = fold(state, offset, record)
        assert result.verdict is verdict
        state = result.state
    assert state.is_usable(OLD)


def test_new_reader_starts_from_a_snapshot_after_records_expired():
    # After weeks without a new release, the release note itself has expired from the
    # log.
    state = fold(FleetState(), 0, FIRST).state
    decision = ZoneDecision("d1", "ozark", True)
    fleet_store = FleetStore()
    fleet_store.note_gap(1)
    fleet_store.offer([LogEntry(1, encode_record(decision))])
    assert fleet_store.revision == -1 and fleet_store.has_gap
    fleet_store.offer([LogEntry(2, encode_record(Snapshot(state)))])
    assert fleet_store.state.is_usable(OLD)
    assert fleet_store.state.availability_zones_out == {"ozark"}
    assert fleet_store.revision == 2


def test_few_processes_write_snapshots():
    # If each of two hundred processes wrote a snapshot, they would use up the append
    # rate of the log.
    fleet_stores = [FleetStore() for _ in range(200)]
    payloads = [encode_record(FIRST)]
    schedules = [
        SnapshotSchedule(h, "x", Random(i)) for i, h in enumerate(fleet_stores)
    ]
    written_s = []
    for now_s in range(0, 3 * 3700):
        for fleet_store, schedule in zip(fleet_stores, schedules, strict=True):
            if fleet_store.next_offset < len(payloads) and now_s % 2 == 0:
                start = fleet_store.next_offset
                fleet_store.offer([
                    LogEntry(start + i, p) for i, p in enumerate(payloads[start:])
                ])  # fmt: skip
            payload = schedule.snapshot_if_due(float(now_s))
            if payload is not None:
                written_s.append(now_s)
                payloads.append(payload)
    assert 2 <= len(written_s) <= 3 * 15
    assert {s // 3600 for s in written_s} >= {1, 2}


def test_exposure_only_grows_until_the_version_is_redeclared():
    # Two entries evaluate the same rollout, one of them with older evidence. If its
    # smaller share won, sessions would move back and forth between versions.
    note = ReleaseNote("a", -1, versions=(Version(OLD, "guide", 1.0, first_share=0.1),))
    state = fold(FleetState(), 0, note).state
    state = fold(state, 1, ExposureRecord(OLD, 0.5, based_on=0)).state
    assert fold(state, 2, ExposureRecord(OLD, 0.25)).verdict is Verdict.DUPLICATE
    assert state.exposures == {OLD: 0.5}
    again = evolve(note, note_id="b", based_on=0)
    state = fold(state, 2, again).state
    assert state.exposures == {}
    stale = fold(state, 3, ExposureRecord(OLD, 1.0, based_on=1))
    assert stale.verdict is Verdict.STALE_BASE
