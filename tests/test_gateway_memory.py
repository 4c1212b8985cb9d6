"""Memory of one gateway process between slow callers and slow endpoints."""

import asyncio
import json
import os
import re
from pathlib import Path

from attrs import evolve

from acaciacove.gateway.catalogue.repetition import Repetition
from acaciacove.gateway.catalogue.service import Service
from acaciacove.soak.addresses import addresses_of
from acaciacove.soak.gateway_process import GatewayProcess
from acaciacove.standins.endpoint_behaviour import EndpointBehaviour
from acaciacove.standins.gateway_fleet import (
    ENDPOINT_PORT,
    FRONT_PORT,
    GatewayFleet,
    gateway_settings,
)
from acaciacove.standins.slow_caller import connect_slow_caller
from tests.gateway_world import KEY, catalogue, report, route

CALLERS, ENGINES = 300, 6
SLOW_BODY, QUICK_BODY = b"x" * 250_000, b"x" * 100
EVENTS, EVENT_BYTES = 36, 10_000
MEMORY_LIMIT_BYTES = 160_000_000
REQUEST = (
    "POST /slow/1 HTTP/1.1\r\nHost: api.example\r\nAcaciacove-Attempt-Id: {}\r\n"
    f"Authorization: Bearer {KEY}\r\nAcaciacove-Model: *\r\n"
    "Content-Length: {}\r\n\r\n"
)


async def start(host, kind, body, count):
    """Start requests, one on each connection, without reading their answers."""
    callers = [await connect_slow_caller(host, FRONT_PORT, 30.0) for _ in range(count)]
    heads = [REQUEST.format(f"{kind}-{n}", len(body)).encode() for n in range(count)]
    sent = (c.send(head + body) for c, head in zip(callers, heads, strict=True))
    await asyncio.gather(*sent)
    return callers


async def read_events(callers):
    """Return the number of events of each complete answer, 0 of any other."""
    answers = await asyncio.gather(*(caller.read_answer() for caller in callers))
    return [answer.count(b"\nid: ") for answer in answers]


def peak_bytes(process_id):
    status = Path(f"/proc/{process_id}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) * 1_024


async def open_fleet(addresses):
    fleet = GatewayFleet(store_host=addresses.log())
    await fleet.open()
    slow = route("slow", "model", Repetition.STREAMING, timeout_s=60.0, max_attempts=1)
    fleet.publish(catalogue(routes=(slow,), services={"model": Service("model", 0)}))
    behaviour = EndpointBehaviour(
        work_s=1.0, gap_s=0.1, events=EVENTS, event_bytes=EVENT_BYTES
    )
    for number in range(ENGINES):
        entry = report(f"model-{number}", "model", number, slots=CALLERS)
        entry = evolve(entry, host=addresses.endpoint(number), port=ENDPOINT_PORT)
        await fleet.add_endpoint(entry, behaviour)
    return fleet


async def run_with_slow_callers(folder):
    addresses = addresses_of(os.getpid())
    fleet = await open_fleet(addresses)
    host = addresses.gateway(0)
    settings = evolve(
        gateway_settings("gateway-0", host, "a"),
        log_address=f"{addresses.log()}:7000",
        heartbeat_s=60.0,
        memory_limit_bytes=MEMORY_LIMIT_BYTES,
    )
    gateway = GatewayProcess(settings, folder)
    await gateway.start()
    try:
        slow = await start(host, "slow", SLOW_BODY, CALLERS)
        await asyncio.sleep(9.0)
        quick = await read_events(await start(host, "quick", QUICK_BODY, 10))
        await asyncio.sleep(2.0)
        return quick, await read_events(slow), peak_bytes(gateway.process.pid)
    finally:
        await gateway.kill()
        await fleet.close()


def test_memory_stays_below_its_limit_with_slow_callers_and_endpoints(tmp_path):
    """Guards against a gateway that is killed because slow callers fill its memory.

    Their bodies and answers are together 4.6 times the budget of held bytes. Without
    it, the process takes more than the limit.
    """
    quick, slow, peak = asyncio.run(run_with_slow_callers(tmp_path))
    log = (tmp_path / "gateway-0.log").read_text().splitlines()
    lines = [json.loads(line) for line in log]
    cut = [line for line in lines if line["event"] == "caller_cut"]
    refused = [line for line in lines if line["event"] == "caller_refused"]
    assert quick == [EVENTS] * 10
    assert peak < MEMORY_LIMIT_BYTES
    assert slow.count(EVENTS) == CALLERS - len(cut) - len(refused)
    assert refused and {line["reason"] for line in refused} == {"overloaded"}
    assert all(line["idle_s"] >= 10.0 for line in cut)
