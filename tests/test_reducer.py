"""Every reader folds the same records alike."""

from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId
from acaciacove.state.record_codec import decode_record, encode_record
from acaciacove.state.reducer import fold
from acaciacove.state.release_note import ReleaseNote
from acaciacove.state.snapshot import Snapshot
from acaciacove.state.verdict import Verdict

OLD = VersionId("guide-small", "1")


def test_of_two_racing_notes_the_first_wins():
    # Two operators write notes on top of the same release. Without a check the
    # second would silently undo the first; its operator has to be told instead.
    first = ReleaseNote("a", -1, versions=(Version(OLD, "guide", 1.0),))
    second = ReleaseNote("b", -1, withdrawn=(OLD,))
    state = fold(FleetState(), 0, first).state
    folded = fold(state, 1, second)
    assert folded.verdict is Verdict.STALE_BASE
    assert folded.state.is_usable(OLD)


def test_records_read_back_as_they_were():
    note = ReleaseNote("a", -1, versions=(Version(OLD, "guide", 1.0),))
    snapshot = Snapshot(fold(FleetState(), 0, note).state)
    for record in (note, snapshot):
        assert decode_record(encode_record(record)) == record
