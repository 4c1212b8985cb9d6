"""Commands for releases, availability zones and instances, with a fake log."""

import asyncio
from contextlib import nullcontext
from io import StringIO
from pathlib import Path
from random import Random

import async_solipsism
import orjson
import pytest

from acaciacove.cli.history import read_history
from acaciacove.cli.release_publish import exit_status, publish
from acaciacove.context import Environment
from acaciacove.core import main
from acaciacove.errors import PlatformUnavailableError
from acaciacove.exit_status import ExitStatus
from acaciacove.fleet.version_id import VersionId
from acaciacove.release_format.read_note import read_note
from acaciacove.settings.publish_settings import PublishSettings
from acaciacove.state.exposure_record import ExposureRecord
from acaciacove.state.quarantine_record import QuarantineRecord
from acaciacove.state.release_note import ReleaseNote
from acaciacove.state.snapshot import Snapshot
from acaciacove.state.verdict import Verdict
from tests.fake_log import FakeLog

EXAMPLES = Path(__file__).parent.parent / "examples"
FIRST = str(EXAMPLES / "swimhole-release.yaml")
ROLLOUT = str(EXAMPLES / "swimhole-rollout.yaml")
WITHDRAWAL = str(EXAMPLES / "swimhole-withdrawal.yaml")
URL = "--log_url=http://127.0.0.1:7000"
SETTINGS = PublishSettings("-", "http://127.0.0.1:7000")


def run(log, *args, stdin=""):
    out, err = StringIO(), StringIO()
    env = Environment(
        StringIO(stdin), out, err, {}, open_log=lambda url: nullcontext(log)
    )
    status = main(args, env)
    return status, out.getvalue(), err.getvalue()


def publish_note(log, file, settings=SETTINGS):
    document = read_note(Path(file).read_bytes(), 10**6)
    loop = async_solipsism.EventLoop()
    try:
        return loop.run_until_complete(publish(document, log, settings, Random(1)))
    finally:
        loop.close()


def log_with_release():
    log = FakeLog()
    assert publish_note(log, FIRST).verdict is Verdict.ACCEPTED
    return log


def test_a_published_note_is_in_force_and_shown():
    log = FakeLog()
    status, out, _ = run(log, "release", "publish", FIRST, URL, "--operator=maud")
    assert status is ExitStatus.SUCCESS
    assert "swimhole-first: in force from revision 0" in out
    status, out, _ = run(log, "release", "show", URL, "--json")
    shown = orjson.loads(out)
    assert status is ExitStatus.SUCCESS
    assert shown["versions"] == ["bookings@1", "guide-large@1", "guide-small@1"]
    assert len(shown["organisations"]) == 10
    assert shown["history"][0]["verdict"] == "accepted"
    _, out, _ = run(log, "release", "show", URL)
    assert "guide-large@1" in out


def test_the_share_that_a_rollout_has_reached_is_shown():
    log = log_with_release()
    publish_note(log, ROLLOUT)
    version = VersionId("guide-small", "2")
    shown = orjson.loads(run(log, "release", "show", URL, "--json")[1])
    assert shown["exposures"] == {str(version): 0.02}
    log.put(ExposureRecord(version, 0.25))
    assert "rolled out to 25.0%" in run(log, "release", "show", URL)[1]


def test_a_note_whose_reply_was_lost_is_found_and_not_appended_again():
    # The log appends a note, but its reply is lost. If the command appended again,
    # it would report a lost race against its own first copy.
    log = FakeLog(lost_replies=1)
    report = publish_note(log, FIRST)
    assert report.verdict is Verdict.ACCEPTED
    assert log.appends == 1


def test_a_note_that_never_arrived_is_appended_again():
    log = FakeLog(lost_appends=2)
    assert publish_note(log, FIRST).verdict is Verdict.ACCEPTED
    assert log.appends == 3


def test_publishing_the_same_file_again_reports_its_outcome():
    # The operator's shell exits during publish. Running the command again must
    # report the outcome of the first note and not append a second one.
    log = log_with_release()
    report = publish_note(log, FIRST)
    assert (report.verdict, report.repeated, report.offset) == (
        Verdict.ACCEPTED,
        True,
        0,
    )
    assert log.appends == 1


def test_an_id_that_another_note_carries_is_refused():
    # A note is edited but keeps its id. Treating the earlier note as this one would
    # report changes as in force that were never appended.
    log = log_with_release()
    text = Path(FIRST).read_text().replace("quality: 0.72", "quality: 0.73")
    status, _, err = run(log, "release", "publish", "-", URL, stdin=text)
    assert status is ExitStatus.INVALID_NOTE
    assert "line 4: note: swimhole-first is the id of another record" in err
    assert log.appends == 1


def test_a_lost_race_names_the_accepted_note():
    # Two operators publish concurrently, based on the same release. Only one note
    # is accepted; the other operator needs the id of the accepted one.
    log = log_with_release()
    log.on_append = ReleaseNote("hers", 0, withdrawn=(VersionId("guide-small", "1"),))
    report = publish_note(log, ROLLOUT)
    assert exit_status(report) is ExitStatus.RACE_LOST
    assert (report.beaten_by, report.in_force, report.offset) == ("hers", 1, 2)


def test_a_note_based_on_an_older_release_loses_to_the_one_in_force():
    # Another note is published after the operator reviewed the diff.
    log = log_with_release()
    publish_note(log, ROLLOUT)
    text = Path(WITHDRAWAL).read_text() + "\nbased_on: 0\n"
    status, out, _ = run(log, "release", "publish", "-", URL, stdin=text)
    assert status is ExitStatus.RACE_LOST
    assert "swimhole-guide-small-2 was first" in out


def test_nothing_is_appended_while_the_log_is_unavailable():
    with pytest.raises(PlatformUnavailableError):
        publish_note(FakeLog(failing_reads=1), FIRST)
    status, _, err = run(FakeLog(failing_reads=1), "release", "publish", FIRST, URL)
    assert status is ExitStatus.PLATFORM_UNAVAILABLE
    assert "the platform did not answer" in err


def test_an_unknown_outcome_is_reported_as_unknown():
    # The log appends the note, loses the reply, and becomes unavailable. The command
    # cannot know the outcome, so it must report neither "failed" nor "in force".
    log = FakeLog()
    log.append = failing_append(log)
    report = publish_note(log, FIRST)
    assert exit_status(report) is ExitStatus.OUTCOME_UNKNOWN
    assert report.offset is None
    log.failing_reads = 0
    assert publish_note(log, FIRST).verdict is Verdict.ACCEPTED


def failing_append(log):
    async def append(stream, payload):
        log.payloads.append(payload)
        log.failing_reads = 10**6
        raise PlatformUnavailableError("no reply")

    return append


def test_state_is_read_from_a_snapshot_after_records_have_expired():
    # The log retains records for a limited time. Folding the remaining records
    # without a snapshot would show a fleet without organisations.
    log = log_with_release()
    publish_note(log, ROLLOUT)
    log.put(Snapshot(read_state(log)))
    run(log, "zone", "out", "ozark", URL)
    expected = orjson.loads(run(log, "release", "show", URL, "--json")[1])
    log.earliest = 2
    status, out, _ = run(log, "release", "show", URL, "--json")
    assert status is ExitStatus.SUCCESS
    shown = orjson.loads(out)
    assert [entry["offset"] for entry in shown["history"]] == [3, 2]
    del shown["history"], expected["history"]
    assert shown == expected
    report = publish_note(log, ROLLOUT)
    assert (report.verdict, report.repeated) == (Verdict.ACCEPTED, True)


def test_expired_records_without_a_snapshot_are_an_error():
    # Records expired and no process wrote a snapshot in time. A note checked against
    # the remaining records could be rejected wrongly or published wrongly.
    log = log_with_release()
    publish_note(log, ROLLOUT)
    log.earliest = 1
    status, _, err = run(log, "release", "publish", WITHDRAWAL, URL)
    assert status is ExitStatus.ERROR
    assert "has lost the records before offset 1" in err
    assert log.appends == 2


def read_state(log):
    return asyncio.run(read_history(log)).state


def test_a_record_that_cannot_be_read_does_not_hide_the_others():
    log = log_with_release()
    log.payloads.append(b"from a newer version")
    publish_note(log, ROLLOUT)
    _, out, _ = run(log, "release", "show", URL, "--json")
    verdicts = [entry["verdict"] for entry in orjson.loads(out)["history"]]
    assert verdicts == ["accepted", "malformed", "accepted"]


def test_diff_shows_what_is_added_changed_and_withdrawn():
    log = log_with_release()
    log.put(QuarantineRecord(VersionId("guide-large", "1"), "errors"))
    status, out, _ = run(log, "release", "diff", ROLLOUT, URL)
    assert status is ExitStatus.SUCCESS
    assert "against release revision 0" in out
    assert "+ version guide-small@2" in out
    assert "weight: 3.0 -> 4.0" in out
    _, out, _ = run(log, "release", "diff", WITHDRAWAL, URL, "--json")
    assert orjson.loads(out)["withdrawn"] == ["version guide-small@1"]


def test_brackets_in_a_summary_are_shown_as_they_are():
    log = log_with_release()
    text = 'note: n\nsummary: "[/bold] :tent: Roll out"\n'
    assert run(log, "release", "publish", "-", URL, stdin=text)[0] == 0
    status, out, _ = run(log, "release", "show", URL)
    assert status is ExitStatus.SUCCESS
    assert "[/bold] :tent: Roll out" in out


def test_what_is_in_force_is_printed_as_a_note_that_reads_back():
    log = log_with_release()
    _, out, _ = run(log, "release", "show", URL, "--yaml")
    document = read_note(out.encode(), 10**6)
    first = read_note(Path(FIRST).read_bytes(), 10**6)
    assert document.added == first.added


def test_validate_lists_faults_for_people_and_for_scripts():
    status, _, err = run(None, "release", "validate", "-", stdin="note: 1\nx: 2\n")
    assert status is ExitStatus.INVALID_NOTE
    assert err.startswith("line 2: x: unknown key")
    status, out, _ = run(
        None, "release", "validate", "-", "--json", stdin="note: 1\nx: 2\n"
    )
    assert status is ExitStatus.INVALID_NOTE
    assert orjson.loads(out)["faults"][0]["path"] == "x"
    status, out, _ = run(log_with_release(), "release", "validate", ROLLOUT, URL)
    assert (status, out) == (
        ExitStatus.SUCCESS,
        "swimhole-guide-small-2 has no faults\n",
    )
    assert run(None, "release", "validate", "none.yaml")[0] is ExitStatus.USAGE


@pytest.mark.parametrize(
    ("word", "name", "key"),
    [
        ("zone", "ozark", "availability_zones_out"),
        ("instance", "guide-3", "instances_out"),
    ],
)
def test_zones_and_instances_are_taken_out_and_brought_back(word, name, key):
    log = log_with_release()
    for direction, expected in (("out", [name]), ("in", [])):
        status, out, _ = run(log, word, direction, name, URL, "--json")
        assert status is ExitStatus.SUCCESS
        assert orjson.loads(out)["out"] is (direction == "out")
        shown = orjson.loads(run(log, "release", "show", URL, "--json")[1])
        assert shown[key] == expected


def test_a_decision_may_be_repeated_by_its_id():
    # A reply is lost and the operator repeats the command. In between, another
    # operator brought the zone back; the repeat must not take it out again.
    log = log_with_release()
    args = ("zone", "out", "ozark", URL, "--decision_id=d1")
    assert run(log, *args)[0] is ExitStatus.SUCCESS
    run(log, "zone", "in", "ozark", URL)
    status, _, _ = run(log, *args)
    assert status is ExitStatus.SUCCESS
    shown = orjson.loads(run(log, "release", "show", URL, "--json")[1])
    assert shown["availability_zones_out"] == []
    other = ("zone", "out", "piedmont", URL, "--decision_id=d1")
    assert run(log, *other)[0] is ExitStatus.USAGE


def test_mistyped_commands_get_suggestions():
    assert "did you mean release diff?" in run(None, "relase", "diff")[2]
    assert "zone needs one of: zone out, zone in" in run(None, "zone")[2]
    status, out, _ = run(None, "zone", "out", "--help")
    assert status is ExitStatus.SUCCESS
    assert "ACACIACOVE_DECISION_ID" in out
    assert run(None, "--version")[1].strip().count(".") == 2
    assert run(None)[0] is ExitStatus.USAGE
