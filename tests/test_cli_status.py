"""The ``status`` command and the stand-ins over HTTP."""

import asyncio
from io import StringIO
from pathlib import Path

import orjson
import pytest
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from acaciacove.cli.query_instance import query_instance
from acaciacove.context import Environment, open_http_client, open_http_log
from acaciacove.core import main
from acaciacove.exit_status import ExitStatus
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.instance_status import InstanceStatus
from acaciacove.fleet.role import Role
from acaciacove.release_format.invalid_note_error import InvalidNoteError
from acaciacove.standins.instance_list_app import build_instance_list_app
from acaciacove.standins.instance_list_state import InstanceListState
from acaciacove.standins.log_app import build_log_app
from acaciacove.standins.log_state import LogState
from acaciacove.standins.read_fleet_file import read_fleet_file
from acaciacove.standins.serve import serve

EXAMPLES = Path(__file__).parent.parent / "examples"
FLEET = FleetState(revision=9, availability_zones_out=frozenset({"ozark"}))


def instance(http_port, name="guide-1", zone="piedmont"):
    return Instance(
        name,
        Role.ENDPOINT,
        "south",
        zone,
        "127.0.0.1",
        1,
        status=InstanceStatus.LEAVING,
        http_port=http_port,
    )


def status_app(body):
    async def status(_):
        return Response(body, media_type="application/json")

    return Starlette(routes=[Route("/status", status)])


def query_status(body, **changes):
    async def query():
        async with (
            serve(status_app(body)) as port,
            open_http_client() as client,
        ):
            return await query_instance(client, instance(port, **changes), FLEET, 5.0)

    return asyncio.run(query())


def test_a_report_combines_instance_list_and_status_answer():
    body = orjson.dumps(
        {
            "name": "guide-1",
            "state": "ready",
            "revision": 7,
            "in_flight": 3,
            "limit": 8,
            "cold": False,
        }
    )
    report = query_status(body, zone="ozark")
    assert (report.listed, report.out, report.state) == ("leaving", True, "ready")
    assert (report.revision, report.behind) == (7, 2)
    assert (report.in_flight, report.limit, report.cold) == (3, 8, False)


@pytest.mark.parametrize("body", [b"junk", b"[]", b'{"name": "other"}'])
def test_an_unexpected_answer_is_a_fault_and_not_a_status(body):
    # The address now belongs to another instance, or a proxy answers in its place.
    # Its state would be shown in the wrong row.
    report = query_status(body)
    assert report.fault
    assert report.state is None


def test_status_shows_instances_that_do_not_answer():
    # The list still contains a crashed instance for a while. The operator needs to
    # see which instance does not answer.
    async def show():
        listed = InstanceListState()
        unreachable = instance(0, "guide-2")
        listed.publish(0.0, (instance(1), unreachable))
        async with (
            serve(build_log_app(LogState())) as log_port,
            serve(build_instance_list_app(listed)) as list_port,
        ):
            args = [
                "status",
                f"--log_url=http://127.0.0.1:{log_port}",
                f"--instance_list_url=http://127.0.0.1:{list_port}",
            ]
            out = StringIO()
            env = Environment(StringIO(), out, StringIO(), {})
            statuses = [
                await asyncio.to_thread(main, [*args, *extra], env)
                for extra in ([], ["--json"])
            ]
            return statuses, out.getvalue()

    statuses, out = asyncio.run(show())
    assert statuses == [ExitStatus.SUCCESS] * 2
    table, _, document = out.rstrip().rpartition("\n")
    assert "no answer" in table
    assert "no HTTP port listed" in table
    assert [i["name"] for i in orjson.loads(document)["instances"]] == [
        "guide-1",
        "guide-2",
    ]


def test_records_are_appended_and_read_over_http():
    async def exchange():
        async with (
            serve(build_log_app(LogState())) as port,
            open_http_log(f"http://127.0.0.1:{port}/") as log,
        ):
            offset = await log.append("release", b"one")
            return offset, await log.read("release", 0, 10)

    offset, entries = asyncio.run(exchange())
    assert offset == 0
    assert [entry.payload for entry in entries] == [b"one"]


def test_status_without_a_platform_exits_with_platform_unavailable():
    err = StringIO()
    env = Environment(StringIO(), StringIO(), err, {})
    closed_url = "http://127.0.0.1:1"
    args = ["status", f"--log_url={closed_url}", f"--instance_list_url={closed_url}"]
    assert main(args, env) is ExitStatus.PLATFORM_UNAVAILABLE


@pytest.mark.parametrize("deployment", ["swimhole", "souk"])
def test_the_example_fleets_are_read(deployment):
    fleet = read_fleet_file((EXAMPLES / f"{deployment}-fleet.yaml").read_bytes())
    assert len(fleet.endpoints) == 3
    roles = [listed.role for listed in fleet.instances]
    assert (roles.count(Role.ENTRY), roles.count(Role.ENDPOINT)) == (2, 3)


def test_a_fleet_file_with_faults_lists_them():
    with pytest.raises(InvalidNoteError) as caught:
        read_fleet_file(b"host: 127.0.0.1\nlog_port: x\nendpoints: [{port: 1}]\n")
    paths = [fault.path for fault in caught.value.faults]
    assert "log_port" in paths
    assert "endpoints[0].kind" in paths
