"""``acaciacove explain`` on the log lines of the operations page."""

import re
from io import StringIO
from pathlib import Path

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciacove.context import Environment
from acaciacove.core import main
from acaciacove.exit_status import ExitStatus
from acaciacove.explain.log_line import LogLine
from acaciacove.explain.losses import sum_losses
from acaciacove.explain.read_lines import read_lines
from acaciacove.explain.request_cause import request_cause
from acaciacove.explain.summary import summarise

PAGE = Path(__file__).parent.parent / "docs" / "OPERATIONS.md"
CASE = re.compile(
    r"```jsonl\n(?P<lines>.*?)```.*?```story\n\$ acaciacove explain (?P<id>\S+) \S+\n"
    r"(?P<story>.*?)```",
    re.DOTALL,
)
CASES = [found.groupdict() for found in CASE.finditer(PAGE.read_text())]


def explain(tmp_path, text, *words):
    file = tmp_path / "gateways.log"
    file.write_text(text)
    env = Environment(stdout=StringIO(), stderr=StringIO(), env={})
    status = main(["explain", *words, str(file)], env)
    return status, env.stdout.getvalue(), env.stderr.getvalue()


def test_the_page_explains_five_kinds_of_failure():
    assert len(CASES) == 5


@pytest.mark.parametrize("case", CASES, ids=lambda case: case["id"])
def test_explain_prints_what_the_page_shows(case, tmp_path):
    status, output, _ = explain(tmp_path, case["lines"], case["id"])
    assert status is ExitStatus.SUCCESS
    assert output == case["story"]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case["id"])
def test_line_order_and_prefixes_are_ignored(case, tmp_path):
    lines = [f"  12.5 edge-1 {x}" for x in reversed(case["lines"].splitlines())]
    _, output, _ = explain(tmp_path, "\n".join(lines), case["id"])
    assert output == case["story"]


def test_truncated_lines_are_counted_and_skipped(tmp_path):
    """Log collectors truncate lines, and other programs write to the same file."""
    case = CASES[0]
    noise = 'hello\n{"time":"2026-\n{"a":1}\n[]\n\n'
    status, output, errors = explain(tmp_path, noise + case["lines"], case["id"])
    assert status is ExitStatus.SUCCESS and output == case["story"]
    assert "4 lines could not be read" in errors


def test_an_unknown_request_is_an_error(tmp_path):
    status, output, errors = explain(tmp_path, CASES[0]["lines"], "nobody")
    assert status is ExitStatus.ERROR and output == ""
    assert "no line tells about it" in errors


def test_a_summary_counts_statuses_and_reasons(tmp_path):
    text = "\n".join(case["lines"] for case in CASES)
    status, output, _ = explain(tmp_path, text, "--summary")
    assert status is ExitStatus.SUCCESS
    assert "caller_refused:stale_revision 1" in output
    assert "attempt:silent 1" in output and "request:served 2" in output


def test_a_file_must_be_named():
    env = Environment(stdout=StringIO(), stderr=StringIO(), env={})
    assert main(["explain", "some-id"], env) is ExitStatus.USAGE
    assert "FILE is missing" in env.stderr.getvalue()


@given(st.lists(st.text(max_size=60), max_size=20))
@settings(max_examples=100, derandomize=True)
def test_any_text_can_be_read(text):
    read = read_lines(text)
    assert read.unreadable == sum(bool(line.strip()) for line in text)
    assert summarise(read.lines) == []


def request_line(second, status, first_s, heads, tries=1):
    return orjson.dumps(
        {
            "time": f"2026-01-01T00:00:{second:02}+00:00",
            "process": "gateway-0",
            "event": "request",
            "request_id": "r",
            "status": status,
            "first_piece_s": first_s,
            "target_s": 2.0,
            "tries": tries,
            "input_tokens": 1000,
            "heads": heads,
        }
    ).decode()


def test_losses_are_summed_by_reason_and_interval():
    """Answers are late for three reasons that callers cannot distinguish: a queue, a
    second attempt, or a long prompt. Each needs a different remedy by operators.
    """
    sure = ["e", "small", 100.0, 0.3, 0.3]
    text = [
        request_line(1, "served", 0.3, [sure]),
        request_line(2, "served", 3.0, [["e", "small", 100.0, 3.0, 0.2]]),
        request_line(3, "served", 3.0, [sure], tries=2),
        request_line(4, "served", 3.0, [["e", "small", 100.0, 3.0, 2.9]]),
        request_line(12, "caller_left", None, [sure]),
        request_line(13, 504, None, []),
        request_line(14, "served", 0.5, [["e", "small", 0.0, 0.2, 0.2], sure]),
    ]
    header, first, second, total = sum_losses(read_lines(text).lines)
    names = header.split("\t")[1:]
    counts = [
        dict(zip(names, row.split("\t")[1:], strict=True)) for row in (first, second)
    ]
    assert counts[0]["requests"] == "4"
    assert [counts[0][n] for n in ("late_queued", "late_resent", "late_large")] == [
        "1",
        "1",
        "1",
    ]
    assert (counts[1]["caller_left"], counts[1]["failed"]) == ("1", "1")
    assert (counts[0]["kept"], counts[1]["kept"], counts[1]["dropped"]) == (
        "4000",
        "1000",
        "2000",
    )
    assert total.startswith("all\t7\t")
    assert sum_losses([]) == []


def cause_of(**fields):
    return request_cause(LogLine(0.0, "gateway-0", "request", fields))


def test_a_refusal_for_overload_states_what_the_gateway_knew():
    refused = {"reason": "overloaded", "status": 503, "wait_s": 1.8, "wait_age_s": 0.1}
    assert cause_of(level=2, cause="level", **refused) == (
        "Refused at admission level 2, which admits more urgent requests: requests "
        "waited 1.8 s at endpoints, known 0.1 s before."
    )
    assert cause_of(level=5, cause="deadline", time_s=1.5, **refused).startswith(
        "Refused because no endpoint could finish it within its time of 1.5 s: "
    )
    assert cause_of(reason="overloaded", level=1).endswith("knew of no wait.")
    assert cause_of(reason="overloaded", status=503) is None
    assert cause_of(reason="no_endpoint", status=503, level=1) is None


def test_a_late_answer_states_what_it_waited_for():
    late = {"status": "served", "first_piece_s": 3.0, "target_s": 2.0, "tries": 1}
    sure = ["e", "small", 100.0, 0.3, 0.3]
    large = ["e", "large", 100.0, 2.6, 2.5]
    queued = cause_of(heads=[["e", "small", 100.0, 3.0, 0.2]], **late)
    postponed = cause_of(heads=[sure, large], postponed_s=0.9, **late)
    assert "it waited 0.9 s for capacity of a larger model and" in postponed
    assert "its target is 2.0 s; it waited in a queue, 2.80 s longer" in queued
    assert "for a second attempt (2 attempts)" in cause_of(
        heads=[sure], **(late | {"tries": 2})
    )
    assert "it waited for a larger model, large after 0.30 s of small." in cause_of(
        heads=[sure, large], **(late | {"tries": 2})
    )
    assert "neither in a queue" in cause_of(heads=[large], **late)
    assert cause_of(heads=[sure], **(late | {"first_piece_s": 2.0})) is None
    assert cause_of(heads=[["another", "form"]], **late) is None


def test_the_summary_adds_overload_refusals_by_organisation():
    def refusal(organisation, reason="overloaded", event="request"):
        fields = {"organisation": organisation, "reason": reason}
        return LogLine(0.0, "gateway-0", event, fields)

    lines = [refusal(f"o-{number}") for number in range(30)]
    lines += [refusal("ozark")] * 3 + [refusal(None, event="caller_refused")] * 2
    lines += [refusal("quiet", reason="no_endpoint"), refusal("quiet", event="attempt")]
    *_, last = summarise(lines)
    assert "organisation: ozark 3, no organisation 2, o-0 1" in last
    assert last.endswith("o-17 1, 12 more")
