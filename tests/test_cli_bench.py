"""The ``bench`` and ``load`` commands."""

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


def run_load(token):
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


def test_load_counts_complete_answers():
    status, report = run_load(TOKEN)
    assert status is ExitStatus.SUCCESS
    assert (report["started"], report["whole"]) == (20, 20)


def test_a_load_run_counts_refusals_by_reason():
    status, report = run_load("wrong")
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
def test_violated_promise_exits_with_check_failed(broken, expected):
    args = ("--rounds=2", f"--break={broken}", "--json")
    status, out, _ = run("bench", "promises", *args)
    report = orjson.loads(out.splitlines()[-1])
    assert status is expected
    assert report["kept"] is (expected is ExitStatus.SUCCESS)
    assert report["checks"]["claims"] > 0


def test_unknown_bench_error_lists_valid_names():
    status, _, err = run("bench", "nope")
    assert status is ExitStatus.USAGE
    assert "BENCH must be one of" in err
    assert "cascade" in err
