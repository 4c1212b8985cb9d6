"""Benches and load runs from the command line."""

import asyncio
from io import StringIO

import orjson
import pytest

from acaciacove.context import Environment
from acaciacove.core import main
from acaciacove.exit_status import ExitStatus
from tests.embedded import TOKEN, embedded_fleet


def run(*args, env=None):
    out, err = StringIO(), StringIO()
    status = main(args, Environment(StringIO(), out, err, env or {}))
    return status, out.getvalue(), err.getvalue()


def loaded(token):
    async def load():
        async with embedded_fleet() as fleet:
            port = fleet.entries[0].http_port
            args = [
                "load",
                f"--entry_url=http://127.0.0.1:{port}",
                "--service_api=rides",
                "--requests=20",
                "--callers=4",
                "--chat_share=0.5",
                "--json",
            ]
            env = {"ACACIACOVE_TOKEN": token}
            return await asyncio.to_thread(run, *args, env=env)

    status, out, _ = asyncio.run(load())
    return status, orjson.loads(out)


def test_a_load_run_counts_whole_answers():
    status, report = loaded(TOKEN)
    assert status is ExitStatus.SUCCESS
    assert (report["started"], report["whole"]) == (20, 20)


def test_a_load_run_counts_refusals_by_reason():
    status, report = loaded("wrong")
    assert status is ExitStatus.SUCCESS
    assert (report["whole"], report["refusals"]) == (0, {"bad_token": 20})


def test_a_bench_prints_its_figures_as_json(capfd):
    status, _, _ = run(
        "bench", "cascade", "--policy=ours", "--duration_s=5", "--seed=3", "--json"
    )
    assert status is ExitStatus.SUCCESS
    document = orjson.loads(capfd.readouterr().out.splitlines()[-1])
    assert (document["scenario"], document["seed"]) == ("cascade", 3)
    assert document["ours"]


@pytest.mark.parametrize(
    ("broken", "expected"),
    [("", ExitStatus.SUCCESS), ("claims", ExitStatus.CHECK_FAILED)],
)
def test_a_broken_promise_ends_a_run_with_a_failed_check(broken, expected):
    args = ("--rounds=2", f"--break={broken}", "--json")
    status, out, _ = run("bench", "promises", *args)
    report = orjson.loads(out.splitlines()[-1])
    assert status is expected
    assert report["kept"] is (expected is ExitStatus.SUCCESS)
    assert report["checks"]["claims"] > 0


def test_an_unknown_bench_is_refused_with_those_that_there_are():
    status, _, err = run("bench", "nope")
    assert status is ExitStatus.USAGE
    assert "BENCH must be one of" in err
    assert "cascade" in err
