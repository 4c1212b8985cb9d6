"""A stand-in of a replica: runs requests, and writes its entry to the store."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from standins.http1 import BrokenMessageError, Message, read_message, write_message
from standins.record import Record
from standins.store import Store

HEARTBEAT_S = 1.2
SERVERS = "keyed.servers"


@dataclass
class Run:
    """One request that this replica has begun to work on."""

    attempt_id: str
    began_s: float
    ended: bool = False


class Replica:
    """A sound replica, except for what ``is_full`` and ``is_doubled`` say.

    ``is_full`` returns whether a request finds all slots taken by other callers.
    ``is_doubled`` returns whether an answer is sent a second time, ``extra_after_s``
    later. It is cold until ``cold_until_s`` of the record's time; if more requests than
    ``crash_per_s`` come in one second meanwhile, it crashes, and the requests that it
    runs are lost. ``born_ms`` is the time of its start, in Unix milliseconds.
    """

    def __init__(
        self, name: str, service: str, zone: str, store: Store, record: Record
    ) -> None:
        """Start without a listener and without an entry."""
        self.name = name
        self.service = service
        self.zone = zone
        self.work_s = 0.045
        self.slots = 6
        self.extra_after_s = 0.02
        self.is_full: Callable[[], bool] = lambda: False
        self.is_doubled: Callable[[bytes], bool] = lambda answer: False
        self.state = "ready"
        self.cold_from_s = 0.0
        self.cold_until_s = 0.0
        self.crash_per_s: float | None = None
        self.lost_runs: list[str] = []
        self.runs: list[Run] = []
        self.arrivals: list[tuple[float, str]] = []
        self.answers: list[float] = []
        self.doubled: list[float] = []
        self.born_ms = int(time.time() * 1000)
        self._store = store
        self._record = record
        self._host, self._port = "", 0
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._heart: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self, host: str, port: int) -> None:
        """Listen for requests, and write the entry from now on."""
        self._host, self._port = host, port
        self._server = await asyncio.start_server(self._serve, host, port)
        self._heart = asyncio.create_task(self._beat())

    def close(self) -> None:
        """End the replica and all its connections."""
        self.stop_beating()
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    def stop_beating(self) -> None:
        """Write the entry no more."""
        if self._heart is not None:
            self._heart.cancel()

    async def _beat(self) -> None:
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def write_entry(self) -> None:
        """Write the entry to the store."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": f"{self._host}:{self._port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": self._cold_remaining_ms(),
            "sequence": self._sequence,
            "born": self.born_ms,
        }
        self._store.put_json(SERVERS, self.name, entry)

    def _cold_remaining_ms(self) -> int:
        return max(0, int((self.cold_until_s - self._record.now_s()) * 1000.0))

    def turn_cold(self, seconds: float) -> None:
        """Become cold for some seconds, and write the entry at once."""
        self.cold_from_s = self._record.now_s()
        self.cold_until_s = self.cold_from_s + seconds
        self._record.write(f"{self.name} is cold for {seconds} s")
        self.write_entry()

    def _crashes(self) -> bool:
        now_s = self._record.now_s()
        if self.crash_per_s is None or now_s >= self.cold_until_s:
            return False
        since_s = max(self.cold_from_s, now_s - 1.0)
        return sum(at_s > since_s for at_s, _ in self.arrivals) > self.crash_per_s

    def _crash(self) -> None:
        self.lost_runs = [run.attempt_id for run in self.runs if not run.ended]
        self._record.write(f"{self.name} crashes and loses {self.lost_runs}")
        self.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while (request := await read_message(reader)) is not None:
                await self._handle(request, writer)
        except (BrokenMessageError, ConnectionError, asyncio.CancelledError):
            return
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _handle(self, request: Message, writer: asyncio.StreamWriter) -> None:
        attempt_id = request.fields.get("acaciacove-attempt-id", "")
        expected = request.fields.get("acaciacove-expected-instance", self.name)
        fields = {"Acaciacove-Attempt-Id": attempt_id, "Keep-Alive": "timeout=10"}
        if request.start.startswith("GET /health "):
            fields = {"Acaciacove-Instance-Id": self.name}
            fields["Acaciacove-Cold-Start-Ms"] = str(self._cold_remaining_ms())
            writer.write(write_message("HTTP/1.1 200 OK", fields))
            return
        if expected != self.name:
            fields["Acaciacove-Not-Executed"] = "1"
            self._send(writer, attempt_id, 421, "Misdirected Request", fields, b"")
            return
        self.arrivals.append((self._record.now_s(), attempt_id))
        if self._crashes():
            self._crash()
            return
        if self.is_full():
            fields["Acaciacove-Not-Executed"] = "1"
            self._send(writer, attempt_id, 503, "Service Unavailable", fields, b"")
            return
        run = Run(attempt_id, self._record.now_s())
        self.runs.append(run)
        self._record.write(f"{self.name} begins to run {attempt_id}")
        await asyncio.sleep(self.work_s)
        run.ended = True
        self._record.write(f"{self.name} has run {attempt_id}")
        fields["Acaciacove-Response-Signature"] = f"{self.name}.{attempt_id}"
        body = f"{self.name} ran {attempt_id}".encode()
        self._send(writer, attempt_id, 200, "OK", fields, body)

    def _send(
        self,
        writer: asyncio.StreamWriter,
        attempt_id: str,
        status: int,
        reason: str,
        fields: dict[str, str],
        body: bytes,
    ) -> None:
        answer = write_message(f"HTTP/1.1 {status} {reason}", fields, body)
        self.answers.append(self._record.now_s())
        self._record.write(f"{self.name} answers {status} to {attempt_id}")
        writer.write(answer)
        if self.is_doubled(answer):
            self.doubled.append(self._record.now_s())
            loop = asyncio.get_running_loop()
            loop.call_later(
                self.extra_after_s, self._send_extra, writer, answer, attempt_id
            )

    def _send_extra(
        self, writer: asyncio.StreamWriter, answer: bytes, attempt_id: str
    ) -> None:
        if writer.is_closing():
            return
        status = answer.split()[1].decode()
        self._record.write(
            f"{self.name} sends its answer {status} to {attempt_id} a second time"
        )
        writer.write(answer)
