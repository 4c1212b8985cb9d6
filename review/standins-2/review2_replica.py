"""A stand-in of a sound replica of a plain service."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from review2_store import SERVERS, Store
from review2_wire import Message, encode_response, read_message

PING_S = 1.2
SLOTS = 6
NOT_EXECUTED = {"Acaciacove-Not-Executed": "1"}


@dataclass
class Run:
    """One request that a replica has begun to work on, and until when it did."""

    attempt_id: str
    replica: str
    arrived_s: float
    ended: str = "cut"
    ended_s: float = float("inf")


@dataclass
class Replica:
    """Answers requests, writes pings, drains and exits as the pages tell.

    ``runs`` is shared by all replicas of a case, in the order of arrival.
    """

    store: Store
    runs: list[Run]
    name: str
    service: str
    zone: str
    host: str
    work_s: float = 0.045
    write_ping: Callable[["Replica", dict[str, object]], None] | None = None
    state: str = "ready"
    sequence: int = 0
    running: int = 0
    address: str = ""
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    _server: asyncio.Server | None = None
    _pings: asyncio.Task[None] | None = None
    _open: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        """Listen on a free port and write the first ping."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self.host}:{port}"
        self.ping()
        self._pings = asyncio.create_task(self._keep_pinging())

    def entry(self) -> dict[str, object]:
        """Return the next ping."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    def ping(self) -> None:
        """Write a ping to the store."""
        entry = self.entry()
        if self.write_ping is not None:
            self.write_ping(self, entry)
        else:
            self.store.put(SERVERS, self.name, entry)

    async def _keep_pinging(self) -> None:
        while True:
            await asyncio.sleep(PING_S)
            self.ping()

    def drain(self) -> None:
        """Report that the replica leaves; it goes on serving."""
        self.state = "draining"
        self.store.put(SERVERS, self.name, self.entry())

    def stop_pinging(self) -> None:
        """Write no more pings."""
        if self._pings is not None:
            self._pings.cancel()

    def exit(self) -> None:
        """End the process of the replica: its entry goes, its channels are closed."""
        self.stop_pinging()
        if self._server is not None:
            self._server.close()
        for writer in self._open:
            writer.transport.abort()
        self.store.put_bytes(SERVERS, self.name, b"")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._open.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                writer.write(await self._answer(request))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # Cancelled at the end of the case.
            return
        finally:
            self._open.discard(writer)
            writer.close()

    async def _answer(self, request: Message) -> bytes:
        attempt_id = request.fields.get("acaciacove-attempt-id", "")
        fields = {
            "Acaciacove-Attempt-Id": attempt_id,
            "Acaciacove-Replica-Load": f"{self.running},0,{SLOTS}",
        }
        if request.first_line.split(" ")[1] == "/health":
            status = 200 if self.state == "ready" else 503
            return encode_response(status, {"Acaciacove-Instance-Id": self.name}, b"")
        if request.fields.get("acaciacove-expected-instance", self.name) != self.name:
            other = {"Acaciacove-Instance-Id": self.name}
            return encode_response(421, fields | other, b"")
        if not attempt_id:
            return encode_response(400, fields | NOT_EXECUTED, b"")
        if self.running >= SLOTS:
            return encode_response(503, fields | NOT_EXECUTED, b"")
        run = Run(attempt_id, self.name, asyncio.get_running_loop().time())
        self.runs.append(run)
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
            run.ended_s = asyncio.get_running_loop().time()
        run.ended = "done"
        if self.state != "ready":
            fields["Connection"] = "close"
        fields["Acaciacove-Response-Signature"] = f"{self.name}.{attempt_id}"
        return encode_response(200, fields, f"{self.name} {attempt_id}".encode())
