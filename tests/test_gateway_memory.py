"""Memory of one gateway process between slow callers and slow endpoints."""

import asyncio
import json
import os
import re
import socket
from contextlib import suppress
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
START_TIMEOUT_S = 30.0
# With the segments of an Ethernet network, the kernel buffers about 50 kB of an answer.
# With those of the loopback interface it would buffer all of it.
SEGMENT_BYTES = 1_000


def small_socket():
    caller = socket.socket()
    caller.setblocking(False)
    caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
    return caller


async def connect_to(host):
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            caller = small_socket()
            try:
                loop = asyncio.get_running_loop()
                await loop.sock_connect(caller, (host, FRONT_PORT))
                return caller
            except ConnectionRefusedError:
                caller.close()
                await asyncio.sleep(0.1)


async def send_request(host, request_id, body):
    caller = await connect_to(host)
    loop = asyncio.get_running_loop()
    with suppress(ConnectionError):  # a refusal may overtake the body
        head = REQUEST.format(request_id, len(body)).encode()
        await loop.sock_sendall(caller, head + body)
    return caller


async def read_answer(caller):
    """Return the number of events of a complete answer, 0 of any other."""
    received = bytearray()
    loop = asyncio.get_running_loop()
    with caller:
        while not received.endswith(b"0\r\n\r\n"):
            try:
                data = await loop.sock_recv(caller, 65_536)
            except ConnectionError:
                return 0
            if not data:
                return 0
            received += data
    return received.count(b"\nid: ") if received.startswith(b"HTTP/1.1 200") else 0


def peak_bytes(process_id):
    status = Path(f"/proc/{process_id}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) * 1_024


async def open_fleet(host):
    addresses = addresses_of(os.getpid())
    fleet = GatewayFleet(store_host=addresses.log())
    await fleet.open()
    slow = route("slow", "model", Repetition.STREAMING, timeout_s=60.0, max_attempts=1)
    services = {"model": Service("model", 0)}
    fleet.publish(catalogue(routes=(slow,), services=services))
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
    host = addresses.gateway(0)
    fleet = await open_fleet(host)
    settings = evolve(
        gateway_settings("gateway-0", host, "a"),
        log_address=f"{addresses.log()}:7000",
        heartbeat_s=60.0,
        memory_limit_bytes=MEMORY_LIMIT_BYTES,
    )
    gateway = GatewayProcess(settings, folder)
    await gateway.start()
    try:
        (await connect_to(host)).close()
        slow = await asyncio.gather(
            *(send_request(host, f"slow-{n}", SLOW_BODY) for n in range(CALLERS))
        )
        await asyncio.sleep(9.0)
        quick = [await send_request(host, f"quick-{n}", QUICK_BODY) for n in range(10)]
        quick_events = await asyncio.gather(*map(read_answer, quick))
        await asyncio.sleep(2.0)
        events = await asyncio.gather(*map(read_answer, slow))
        return quick_events, events, peak_bytes(gateway.process.pid), gateway.log_path
    finally:
        await gateway.kill()
        await fleet.close()


def test_memory_stays_below_its_limit_with_slow_callers_and_endpoints(tmp_path):
    """Guards against a gateway that is killed because slow callers fill its memory.

    Their bodies and answers are together 4.6 times the budget of held bytes. Without
    it, the process takes more than the limit.
    """
    quick, slow, peak, log_path = asyncio.run(run_with_slow_callers(tmp_path))
    log = [json.loads(line) for line in log_path.read_text().splitlines()]
    cut = [line for line in log if line["event"] == "caller_cut"]
    refused = [line for line in log if line["event"] == "caller_refused"]
    assert quick == [EVENTS] * 10
    assert peak < MEMORY_LIMIT_BYTES
    assert slow.count(EVENTS) == CALLERS - len(cut) - len(refused)
    assert refused and {line["reason"] for line in refused} == {"overloaded"}
    assert all(line["idle_s"] >= 10.0 for line in cut)
