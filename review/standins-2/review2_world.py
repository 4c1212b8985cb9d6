"""A small deployment for one case: store, replicas, gateways, consumers, record."""

import asyncio
import os
import random
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

from review2_engine import Engine
from review2_gateway import GatewayProcess
from review2_replica import Replica, Run
from review2_store import OPERATOR, Store
from review2_wire import encode_request, read_chunks, read_message

HELD, BROKEN, NOT_RUN = 0, 1, 2
ROUTE_HOST = "shop.example"
SERVICE = "shop"
MODEL_SERVICE = "model"
KEY = "k1n2b3v4c5x6"
TIMEOUT_S = 2.5
STREAM_TIMEOUT_S = 25.0
START_S = 15.0
MANIFEST = {
    "version": 3,
    "routes": [
        {
            "name": f"r-{kind}",
            "host": ROUTE_HOST,
            "pathPrefix": f"/{kind}/",
            "kind": kind,
            "timeoutMs": 2500,
            "targetLatencyMs": 200,
            "priority": 0,
            "service": SERVICE,
            "maxAttempts": 3,
            "anonymousAccess": False,
            "sessionAffinity": False,
        }
        for kind in ("idempotent", "non_idempotent")
    ]
    + [
        {
            "name": "r-streaming",
            "host": ROUTE_HOST,
            "pathPrefix": "/streaming/",
            "kind": "streaming",
            "timeoutMs": 25000,
            "targetLatencyMs": 1500,
            "priority": 0,
            "service": MODEL_SERVICE,
            "maxAttempts": 3,
            "anonymousAccess": False,
            "sessionAffinity": False,
            "streamResumption": True,
            "targetItlMs": 800,
        }
    ],
    "services": [
        {
            "name": name,
            "healthCheckPath": "/health",
            "connectionLimit": limit,
            "protocol": "h1",
            "tls": False,
            "coldStartS": 0.0,
            "coldPerS": 0.0,
        }
        for name, limit in ((SERVICE, 100), (MODEL_SERVICE, 360))
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "t1", "apiKeys": [KEY]}],
}


@dataclass
class Call:
    """One consumer attempt: ``result`` is a status, or what happened instead."""

    attempt_id: str
    gateway: str
    kind: str
    sent_s: float
    result: int | str = "unanswered"
    signature: str = ""
    ended_s: float = 0.0
    ids: list[int] = field(default_factory=list)


@dataclass
class World:
    """Everything that a case has started, and what was sent, answered and run."""

    folder: Path
    store: Store = field(default_factory=Store)
    store_address: str = ""
    runs: list[Run] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)
    notes: list[tuple[float, str]] = field(default_factory=list)
    replicas: list[Replica] = field(default_factory=list)
    gateways: list[GatewayProcess] = field(default_factory=list)
    _last_host: int = 1
    _net: str = field(
        default_factory=lambda: (
            f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        )
    )

    def free_host(self) -> str:
        """Return a loopback address that nothing else of this case uses."""
        self._last_host += 1
        return f"{self._net}.{self._last_host}"

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.notes.append((asyncio.get_running_loop().time(), text))

    async def open(self, replicas: int, gateways: int) -> None:
        """Start the store, the replicas and the gateways, and wait until all serve."""
        self.store_address = await self.store.open(self.free_host())
        self.store.put(OPERATOR, "config", MANIFEST)
        for number in range(replicas):
            await self.add_replica(f"i-{number + 1}")
        for number in range(gateways):
            gateway = GatewayProcess(
                f"edge-{number + 1}",
                f"z{number % 2 + 1}",
                self.free_host(),
                self.store_address,
                self.folder,
            )
            self.gateways.append(gateway)
            await gateway.start()
        await self._wait_until_ready()
        self.note("all gateways are ready")

    async def add_replica(self, name: str) -> Replica:
        """Start a replica of the service."""
        zone = f"z{len(self.replicas) % 2 + 1}"
        host = self.free_host()
        replica = Replica(self.store, self.runs, name, SERVICE, zone, host)
        self.replicas.append(replica)
        await replica.start()
        return replica

    async def add_engine(self, name: str, events: int, gap_s: float) -> Engine:
        """Start a model replica."""
        zone = f"z{len(self.replicas) % 2 + 1}"
        engine = Engine(
            self.store,
            self.runs,
            name,
            MODEL_SERVICE,
            zone,
            self.free_host(),
            events=events,
            gap_s=gap_s,
        )
        engine.awake.set()
        self.replicas.append(engine)
        await engine.start()
        return engine

    async def _wait_until_ready(self) -> None:
        async with asyncio.timeout(START_S):
            for gateway in self.gateways:
                while not await self.is_ready(gateway):
                    await asyncio.sleep(0.1)

    async def is_ready(self, gateway: GatewayProcess) -> bool:
        """Ask a gateway as the platform does; return whether it answers 200."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(gateway.host, 8220)
                try:
                    fields = {"Host": gateway.host}
                    writer.write(encode_request("GET", "/-/readiness", fields))
                    answer = await read_message(reader)
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer is not None and answer.first_line.split(" ")[1] == "200"

    async def call(self, gateway: GatewayProcess, kind: str) -> Call:
        """Send one request on a new channel and wait for its end."""
        loop = asyncio.get_running_loop()
        call = Call(f"{len(self.calls) + 1:016x}", gateway.name, kind, loop.time())
        self.calls.append(call)
        writer = None
        try:
            async with asyncio.timeout(TIMEOUT_S + 1.0):
                reader, writer = await asyncio.open_connection(gateway.host, 8227)
                call.sent_s = loop.time()
                writer.write(_request(call))
                answer = await read_message(reader)
            if answer is None:
                call.result = "closed without an answer"
            else:
                call.result = int(answer.first_line.split(" ")[1])
                name = "acaciacove-response-signature"
                call.signature = answer.fields.get(name, "")
        except ConnectionRefusedError:
            call.result = "refused the channel"
        except TimeoutError:
            call.result = "no answer in time"
        except (OSError, asyncio.IncompleteReadError) as error:
            call.result = f"cut: {type(error).__name__}"
        finally:
            if writer is not None:
                writer.close()
        call.ended_s = loop.time()
        return call

    async def stream(self, gateway: GatewayProcess) -> Call:
        """Ask for a stream on a new channel; the result tells how it ended."""
        loop = asyncio.get_running_loop()
        call = Call(
            f"{len(self.calls) + 1:016x}", gateway.name, "streaming", loop.time()
        )
        self.calls.append(call)
        writer = None
        body = b""
        try:
            async with asyncio.timeout(STREAM_TIMEOUT_S + 1.0):
                reader, writer = await asyncio.open_connection(gateway.host, 8227)
                call.sent_s = loop.time()
                writer.write(_request(call))
                head = await reader.readuntil(b"\r\n\r\n")
                call.result = int(head.split(b" ")[1])
                async for chunk in read_chunks(reader):
                    body += chunk
        except TimeoutError:
            call.result = "no end in time"
        except (OSError, asyncio.IncompleteReadError):
            call.result = f"cut off after {body.count(b'id: ')} events"
        finally:
            if writer is not None:
                writer.close()
        call.ids = [int(line[4:]) for line in body.split(b"\n") if line[:4] == b"id: "]
        call.ended_s = loop.time()
        return call

    async def traffic(
        self, seconds: float, per_s: float, kinds: tuple[str, ...]
    ) -> None:
        """Send requests to all gateways by turns, and wait until all have ended."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + seconds
        tasks = set()
        number = 0
        while loop.time() < until_s:
            gateway = self.gateways[number % len(self.gateways)]
            kind = kinds[number // len(self.gateways) % len(kinds)]
            tasks.add(asyncio.create_task(self.call(gateway, kind)))
            number += 1
            await asyncio.sleep(1.0 / per_s)
        await asyncio.gather(*tasks)

    async def close(self) -> None:
        """End all processes that were started."""
        for gateway in self.gateways:
            await gateway.stop()

    def write_record(self, path: Path, verdict: str) -> None:
        """Write what was sent, answered and run, in the order of time."""
        lines = [(at_s, f"note      {text}") for at_s, text in self.notes]
        for c in self.calls:
            text = f"{c.attempt_id} {c.kind} to {c.gateway}"
            lines.append((c.sent_s, f"sent      {text}"))
            lines.append((c.ended_s, f"answered  {text}: {c.result} {c.signature}"))
        for r in self.runs:
            lines.append((r.arrived_s, f"run       {r.attempt_id} at {r.replica}"))
            if r.ended_s < float("inf"):
                text = f"{r.attempt_id} at {r.replica}: {r.ended}"
                lines.append((r.ended_s, f"run ended {text}"))
        lines.sort(key=lambda line: line[0])
        began_s = lines[0][0] if lines else 0.0
        text = "".join(f"{at_s - began_s:8.3f}  {line}\n" for at_s, line in lines)
        path.write_text(f"{verdict}\n{text}", encoding="utf-8")


def _request(call: Call) -> bytes:
    timeout_s = STREAM_TIMEOUT_S if call.kind == "streaming" else TIMEOUT_S
    fields = {
        "Host": ROUTE_HOST,
        "Acaciacove-Attempt-Id": call.attempt_id,
        "Acaciacove-Deadline-Ms": str(int(timeout_s * 1000)),
        "Authorization": f"Bearer {KEY}",
    }
    body = f"order {call.attempt_id}".encode()
    method = "GET" if call.kind == "idempotent" else "POST"
    target = f"/{call.kind}/2f"
    return encode_request(method, target, fields, body if method == "POST" else b"")


@contextmanager
def _exit_2_on_error() -> Iterator[None]:
    try:
        yield
    except (Exception, asyncio.CancelledError, KeyboardInterrupt):
        traceback.print_exc()
        sys.exit(NOT_RUN)


def run_case(
    path: str,
    play: Callable[[World, bool], Awaitable[tuple[bool, str]]],
    has_trouble: bool,
) -> None:
    """Play a case and exit with its status.

    ``play`` gets the world and whether there is trouble, and returns whether the rule
    held, and a line on what was seen. The record is written beside ``path``.
    """
    with _exit_2_on_error():
        held, seen = asyncio.run(_play(path, play, has_trouble))
    verdict = f"trouble={int(has_trouble)} held={int(held)}: {seen}"
    print(verdict)
    sys.exit(HELD if held else BROKEN)


async def _play(
    path: str,
    play: Callable[[World, bool], Awaitable[tuple[bool, str]]],
    has_trouble: bool,
) -> tuple[bool, str]:
    task = asyncio.current_task()
    assert task is not None
    # Whoever stops the script must not leave its processes behind.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    with tempfile.TemporaryDirectory() as folder:
        world = World(Path(folder))
        try:
            held, seen = await play(world, has_trouble)
        finally:
            await world.close()
        if not any(call.result == 200 for call in world.calls):
            raise RuntimeError("no request was served at all, so nothing was tested")
        verdict = f"trouble={int(has_trouble)} held={int(held)}: {seen}"
        world.write_record(Path(path).with_name("record.txt"), verdict)
        if os.environ.get("KEEP_LOGS"):
            for gateway in world.gateways:
                print(gateway.log_path.read_text(encoding="utf-8"))
    return held, seen
