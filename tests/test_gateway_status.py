"""The status that a gateway reports, and the command that queries gateways."""

import asyncio
import os
from contextlib import asynccontextmanager, suppress
from io import StringIO

import orjson
from attrs import evolve

from acaciacove.context import Environment
from acaciacove.core import main
from acaciacove.exit_status import ExitStatus
from acaciacove.gateway import traffic
from acaciacove.gateway.probe_protocol import ProbeAnswer, ProbeProtocol
from acaciacove.gateway.traffic import Traffic
from acaciacove.reason import Reason
from acaciacove.soak.addresses import addresses_of
from acaciacove.standins.gateway_fleet import GatewayFleet, gateway_settings
from tests.gateway_world import KEY, call, catalogue, draft, report, run_fleet
from tests.raw_server import raw_server, response


async def get(path, port):
    reader, writer = await asyncio.open_connection("10.0.1.1", port)
    writer.write(
        f"GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".encode()
    )
    head, _, body = (await reader.read()).partition(b"\r\n\r\n")
    return int(head.split()[1]), body


def test_the_status_shows_demand_endpoints_and_refusals_and_no_secret():
    async def scenario(fleet):
        fleet.endpoints["app-0"].behaviour.full = True
        fleet.endpoints["app-1"].behaviour.full = True
        assert (await call("/look/1", "r-1", body=b"secret")).status == 503
        for number in range(20):
            await draft(f"secret-{number}", key="secret")
        await call("/nowhere/1", "r-2", key="secret")
        fleet.take_zone_out("b")
        await asyncio.sleep(1.0)
        status, body = await get("/status", 9464)
        assert status == 200 and (await get("/status", 8001))[0] == 404
        assert (await get("/status", 9464))[1] == body
        found = orjson.loads(body)
        assert (found["name"], found["zone"]) == ("gateway-0", "a")
        assert found["revision"] == 1 and found["gateways"] == ["gateway-0"]
        assert found["unrouted_refusals"] == {"unknown_api": 1}
        assert found["overload_refusals"] == {"ozark": 1}
        app, model = found["services"]
        assert app["refusals"] == {"overloaded": 1} and model["refusals"] == {}
        assert app["endpoint_states"] == {"usable": 1, "zone_out": 1}
        assert model["requests_per_s"] == 2.0 and app["requests_per_s"] == 0.1
        first = model["endpoints"][0]
        assert first["instance"] == "model-0" and first["slots"] == 64
        assert (first["in_flight"], first["running"], first["waiting"]) == (0, 1, 0)
        assert first["report_age_s"] > 0 and model["wait_s"] == first["wait_s"]
        assert first["pace"] is first["slowness"] is model["admission_level"] is None
        assert KEY.encode() not in body and b"secret" not in body

    run_fleet(scenario)


def test_a_client_that_does_not_read_is_disconnected():
    """Guards against memory that fills with status pages that nobody reads."""
    answered = []

    def answer(path):
        answered.append(path)
        return ProbeAnswer(200, b"x" * 200_000)

    async def scenario():
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: ProbeProtocol(answer), "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(*address, limit=1_000)
        writer.write(b"GET /status HTTP/1.1\r\nHost: a\r\n\r\n" * 1_000)
        await asyncio.sleep(0.3)
        assert 1 <= len(answered) < 100
        with suppress(ConnectionError):
            await asyncio.wait_for(reader.read(), 10.0)
        assert len(answered) < 100
        server.close()

    asyncio.run(scenario())


def test_counts_of_refusals_are_bounded_and_keep_the_highest():
    counts = Traffic()
    for number in range(5 * traffic.MAX_ORGANISATIONS):
        counts.count_request(f"service-{number}", 0.0)
        counts.count_refusal(Reason.OVERLOADED, f"service-{number}", f"o-{number}")
        counts.count_refusal(Reason.OVERLOADED, None, "greedy")
    reported = counts.overload_refusals()
    assert len(reported) == traffic.REPORTED_ORGANISATIONS
    assert (
        next(iter(reported)) == "greedy"
        and len(counts.services) == traffic.MAX_SERVICES
    )
    assert len(counts._overload_refusals) == traffic.MAX_ORGANISATIONS


async def run_gateways(*words):
    env = Environment(StringIO(), StringIO(), StringIO(), {})
    status = await asyncio.to_thread(main, ["gateways", *words], env)
    return status, env.stdout.getvalue(), env.stderr.getvalue()


@asynccontextmanager
async def loopback_gateways():
    """Run two gateways and one endpoint on sockets; yield the metrics addresses."""
    addresses = addresses_of(os.getpid())
    fleet = GatewayFleet(store_host=addresses.log())
    await fleet.open()
    fleet.publish(catalogue())
    await fleet.add_endpoint(report("app-0", "app", 10, host=addresses.endpoint(0)))
    running = []
    for number in range(2):
        base = gateway_settings(f"gateway-{number}", addresses.gateway(number), "a")
        config = evolve(base, log_address=f"{addresses.log()}:7000")
        running.append(await fleet.add_gateway(config))
    try:
        async with asyncio.timeout(10.0):
            while not all(gateway.pages.is_ready() for gateway in running):
                await asyncio.sleep(0.02)
        yield [gateway.settings.metrics_address for gateway in running]
    finally:
        await fleet.close()


def test_gateways_that_answer_badly_are_shown_and_fail_nothing():
    """Guards against one silent gateway that hides the state of all others."""
    bodies = [
        response(b"junk"),
        response(b"[]"),
        response(b'{"name":"entry-1","revision":3}'),
        response(b"[" * 100_000),
        b"\x00\xff\r\n\r\n\x00",
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 404 Nope\r\nContent-Length: 2\r\n\r\n{}",
        b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
        None,
    ]
    answers = iter(bodies)

    async def respond(request):
        return next(answers)

    async def test():
        async with (
            loopback_gateways() as addresses,
            raw_server(respond) as bad,
            raw_server(lambda _: asyncio.sleep(60.0)) as slow,
        ):
            for _ in bodies:
                port = bad.url.rpartition(":")[2]
                status, out, _ = await run_gateways("--json", f"127.0.0.1:{port}")
                (answer,) = orjson.loads(out)["gateways"]
                assert status is ExitStatus.SUCCESS
                assert answer["status"] is None and answer["fault"]
            slow_address = slow.url.removeprefix("http://")
            words = [",".join([*addresses, slow_address]), "127.0.0.1:1"]
            began_s = asyncio.get_running_loop().time()
            status, out, _ = await run_gateways(*words, "--timeout_s=0.5")
            assert status is ExitStatus.SUCCESS
            assert asyncio.get_running_loop().time() - began_s < 5.0
            for text in ("2 of 4 gateways", "gateway-0", "gateway-1", "app-0"):
                assert text in out
            status, out, _ = await run_gateways(*words, "--timeout_s=0.5", "--json")
            faults = [answer["fault"] for answer in orjson.loads(out)["gateways"]]
            assert faults == ["", "", "no answer within 0.5 s", "no answer"]

    asyncio.run(test())


def test_all_faults_of_the_addresses_are_listed():
    words = ("10.0.0.1:9464,x:2", "::1:0", "10.0.0.2", "--timeout_s=0")
    status, _, errors = asyncio.run(run_gateways(*words))
    assert status is ExitStatus.USAGE
    for fault in ("'x:2'", "'::1:0'", "'10.0.0.2'", "--timeout_s must be above 0"):
        assert fault in errors
    assert "10.0.0.1" not in errors
