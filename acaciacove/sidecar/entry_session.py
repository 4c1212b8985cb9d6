"""Serves the connection of one peer process, usually an entry."""

import asyncio
from collections.abc import Awaitable, Callable

from acaciacove.messages.billed import Billed
from acaciacove.messages.cancel import Cancel
from acaciacove.messages.hello import Hello
from acaciacove.messages.message import Message
from acaciacove.messages.run import Run
from acaciacove.sidecar.run_attempt import run_attempt
from acaciacove.sidecar.sidecar_state import SidecarState
from acaciacove.wire.connection import Connection
from acaciacove.wire.outbox import Outbox

Send = Callable[[Message], Awaitable[None]]
OnControlMessage = Callable[[str, Message, Send], Awaitable[None]]

MIN_LOAD_REPORT_INTERVAL_S = 1.0
LOAD_REPORT_BYTES = 110.0
MAX_LOAD_REPORT_BYTES_PER_S = 200.0


class EntrySession:
    """Reads one connection; each attempt is a task that replies through the outbox.

    ``peer`` is the name of the peer instance, empty until its Hello arrives.
    ``on_control_message`` receives that name, each message that belongs to no
    attempt, and a function that sends replies.
    """

    def __init__(
        self,
        connection: Connection,
        sidecar: SidecarState,
        hello: Callable[[], Hello],
        on_control_message: OnControlMessage,
    ) -> None:
        """Start with an accepted connection, before its Hello has been read."""
        self.peer = ""
        self._is_entry = False
        self.outbox = Outbox(connection)
        self._connection = connection
        self._sidecar = sidecar
        self._hello = hello
        self._on_control_message = on_control_message
        self._attempts: dict[tuple[str, int], asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Serve the peer until it closes, then cancel its attempts."""
        writer = asyncio.create_task(self.outbox.run())
        reporter = asyncio.create_task(self._report_load())
        self._sidecar.connections_by_peer[self.peer] += 1
        try:
            while (message := await self._connection.receive()) is not None:
                await self._handle(message)
        finally:
            writer.cancel()
            reporter.cancel()
            for task in tuple(self._attempts.values()):
                task.cancel()
            self._connection.close()
            self._sidecar.connections_by_peer[self.peer] -= 1
            self._report_lost_entry()

    async def _report_load(self) -> None:
        """Send the load to an entry periodically, in addition to every answer.

        An entry that has sent no request lately would otherwise route by a stale
        load. The report is also a heartbeat that makes a probe unnecessary. With few
        entries it is sent every second. With many it is sent less often, so that the
        reports to all entries together stay within one byte rate. That suffices,
        because answers carry the load as well.
        """
        while True:
            entries = sum(
                1 for count in self._sidecar.connections_by_peer.values() if count > 0
            )
            interval_s = entries * LOAD_REPORT_BYTES / MAX_LOAD_REPORT_BYTES_PER_S
            await asyncio.sleep(max(MIN_LOAD_REPORT_INTERVAL_S, interval_s))
            if self._is_entry:
                await self.outbox.put(self._sidecar.admission.load())

    def _report_lost_entry(self) -> None:
        """Report an entry as lost when its last connection closes.

        A killed entry sends no notice, and the platform's list shows it for up to a
        minute longer. Its bills would wait for that time. An entry that still runs
        sends its next message within a second.
        """
        if self._is_entry and self._sidecar.connections_by_peer[self.peer] == 0:
            self._sidecar.shared.connection_lost(self.peer)

    def _set_peer(self, name: str) -> None:
        self._sidecar.connections_by_peer[self.peer] -= 1
        self.peer = name
        self._sidecar.connections_by_peer[name] += 1

    async def _handle(self, message: Message) -> None:
        match message:
            case Run():
                self._start_attempt(message)
            case Cancel():
                task = self._attempts.get((message.request_id, message.attempt))
                if task is not None:
                    task.cancel()
            case Billed():
                self._sidecar.billing.confirm(message.request_ids)
            case Hello():
                self._set_peer(message.instance)
                await self.outbox.put(self._hello())
            case _:
                await self._on_control_message(self.peer, message, self.outbox.put)

    def _start_attempt(self, run: Run) -> None:
        """Start an attempt; a duplicate of a running attempt is ignored."""
        self._is_entry = True
        key = (run.request_id, run.attempt)
        if key in self._attempts:
            return
        self._sidecar.in_flight += 1
        task = asyncio.create_task(
            run_attempt(run, self.peer, self._sidecar, self.outbox.put)
        )
        self._attempts[key] = task
        task.add_done_callback(lambda done: self._on_attempt_done(key, done))

    def _on_attempt_done(self, key: tuple[str, int], task: asyncio.Task[None]) -> None:
        self._sidecar.in_flight -= 1
        del self._attempts[key]
        if not task.cancelled() and task.exception() is not None:
            # An unexpected exception leaves the entry without an answer, so that its
            # stream hangs. Closing the connection lets it retry on another endpoint.
            self._connection.close()
