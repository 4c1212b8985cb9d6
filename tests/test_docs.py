"""What the pages show is what the program does."""

import asyncio
import doctest
import re
import shlex
from contextlib import nullcontext
from io import StringIO
from pathlib import Path

import pytest
from aioprometheus import Registry

from acaciacove.cli.definition import COMMANDS
from acaciacove.cli.help_settings import settings_tables
from acaciacove.context import Environment
from acaciacove.core import main
from acaciacove.daemon.process_metrics import ProcessMetrics
from acaciacove.entry.entry_metrics import EntryMetrics
from acaciacove.entry.problem import DEFAULT_STATUS, STATUSES
from acaciacove.exit_status import ExitStatus
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.reason import Reason
from acaciacove.release_format.check_note import check_note
from acaciacove.release_format.read_note import read_note
from acaciacove.sidecar.sidecar_metrics import SidecarMetrics
from tests.fake_log import FakeLog
from tests.readme_session import readme_session

ROOT = Path(__file__).parent.parent
PAGES = sorted([*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")])
FENCE = re.compile(r"^```(\w+)\n(.*?)^```$", re.MULTILINE | re.DOTALL)
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")


def fences(page, language):
    text = (ROOT / page).read_text()
    return [body for found, body in FENCE.findall(text) if found == language]


def in_console(command, log):
    out = StringIO()
    env = Environment(
        StringIO(),
        out,
        out,
        {"ACACIACOVE_LOG_URL": "http://127.0.0.1:7000"},
        open_log=lambda url: nullcontext(log),
    )
    program, *args = shlex.split(command)
    assert program == "acaciacove"
    main(args, env)
    return out.getvalue()


def commands_in(body):
    """Split a console session into commands with what they print."""
    parts = re.split(r"^\$ ", body, flags=re.MULTILINE)[1:]
    return [part.partition("\n")[::2] for part in parts]


def assert_same(command, expected, printed):
    flags = doctest.ELLIPSIS | doctest.NORMALIZE_WHITESPACE
    same = doctest.OutputChecker().check_output(expected, printed, flags)
    assert same, f"{command}\n{printed}"


async def start(shells):
    """Start what README starts, without its callers and operators."""
    standins, *daemons = "".join(fences("README.md", "shell")).splitlines()
    await shells.run(standins)
    await shells.run("acaciacove release publish examples/swimhole-release.yaml")
    for daemon in daemons:
        await shells.run(daemon)


async def follow(shells, page):
    """Run a page's commands in turn and compare what they print."""
    for language, body in FENCE.findall((ROOT / page).read_text()):
        if language == "shell":
            for command in body.splitlines():
                await shells.run(command)
            continue
        for command, expected in commands_in(body):
            assert_same(command, expected, await shells.run(command))


def test_the_commands_of_the_readme_do_what_it_shows(monkeypatch):
    monkeypatch.chdir(ROOT)

    async def test():
        async with readme_session() as shells:
            await follow(shells, "README.md")

    asyncio.run(test())


def test_what_callers_are_told_to_send_is_answered_as_shown(monkeypatch):
    monkeypatch.chdir(ROOT)

    async def test():
        async with readme_session() as shells:
            await start(shells)
            await follow(shells, "docs/callers.md")

    asyncio.run(test())


@pytest.mark.parametrize("page", ["docs/release-notes.md", "docs/OPERATIONS.md"])
def test_commands_on_a_page_print_what_the_page_shows(page, monkeypatch):
    monkeypatch.chdir(ROOT)
    log = FakeLog()
    sessions = fences(page, "console")
    assert sessions
    for session in sessions:
        for command, expected in commands_in(session):
            assert_same(command, expected, in_console(command, log))


def test_release_notes_on_the_page_have_no_faults():
    notes = fences("docs/release-notes.md", "yaml")
    assert len(notes) == 2
    for note in notes:
        document = read_note(note.encode(), 10**6)
        assert check_note(document, FleetState()) == []


def test_the_tables_of_settings_are_current():
    page = (ROOT / "docs/OPERATIONS.md").read_text()
    assert settings_tables(COMMANDS) in page


def test_every_exit_status_is_explained_to_operators():
    page = (ROOT / "docs/OPERATIONS.md").read_text()
    explained = re.findall(r"^\| (\d+) \| `(\w+)` \|", page, re.MULTILINE)
    assert explained == [(str(s.value), s.name) for s in ExitStatus]


def test_every_metric_is_explained_to_operators():
    page = (ROOT / "docs/OPERATIONS.md").read_text()
    table = page.partition("## Metrics")[2].partition("##")[0]
    explained = re.findall(r"^\| \**`(\w+)`\** \|", table, re.MULTILINE)
    served = set()
    for metrics in (EntryMetrics, SidecarMetrics, ProcessMetrics):
        registry = Registry()
        metrics(registry)
        served.update(registry.collectors)
    assert {f"acaciacove_{name}" for name in explained} == served


def test_every_reason_code_is_explained_to_callers():
    page = (ROOT / "docs/callers.md").read_text()
    table = page.partition("## Reasons")[2]
    explained = re.findall(r"^\| `(\w+)` \| (\d+) \|", table, re.MULTILINE)
    sent = {r.value: str(STATUSES.get(r, DEFAULT_STATUS).value) for r in Reason}
    assert dict(explained) == sent


def test_python_on_the_library_page_runs():
    examples = fences("docs/library.md", "python")
    assert examples
    for example in examples:
        assert "assert" in example
        exec(compile(example, "docs/library.md", "exec"), {})


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_links_between_pages_lead_somewhere(page):
    for target in LINK.findall(page.read_text()):
        assert (page.parent / target).exists(), target


def test_every_page_is_reached_from_the_index():
    index = ROOT / "docs/README.md"
    reached = {(index.parent / t).resolve() for t in LINK.findall(index.read_text())}
    pages = {page.resolve() for page in ROOT.glob("docs/**/*.md")} - {index}
    assert pages <= reached
