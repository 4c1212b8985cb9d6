"""The connection from an entry to one sidecar, shared by many attempts."""

import asyncio
from collections.abc import Callable

from acaciacove.entry.attempt import Attempt
from acaciacove.messages.cancel import Cancel
from acaciacove.messages.chunk import Chunk
from acaciacove.messages.end import End
from acaciacove.messages.head import Head
from acaciacove.messages.hello import Hello
from acaciacove.messages.message import Message
from acaciacove.messages.refused import Refused
from acaciacove.messages.run import Run
from acaciacove.reason import Reason
from acaciacove.wire.connection import Connection, connect

CONNECT_TIMEOUT_S = 1.0
MAX_BUFFERED_BYTES = 4 * 2**20

OnControlMessage = Callable[["SidecarLink", Message], None]


class SidecarLink:
    """Owns one connection; each attempt reads its events from its own queue.

    ``peer`` is the sidecar's last Hello, or None before the first one.
    ``on_control_message`` receives every message that belongs to no attempt, such
    as records of the release stream. ``stray_count`` counts answers to attempts
    that have already ended.
    """

    def __init__(
        self,
        host: str,
        port: int,
        hello: Callable[[], Hello],
        on_control_message: OnControlMessage,
    ) -> None:
        """Store the sidecar's address; the first attempt opens the connection."""
        self.stray_count = 0
        self.peer: Hello | None = None
        self._address = (host, port)
        self._hello = hello
        self._on_control_message = on_control_message
        self._attempts: dict[tuple[str, int], Attempt] = {}
        self._connection: Connection | None = None
        self._open_lock = asyncio.Lock()
        self._reader_task: asyncio.Task[None] | None = None

    async def start_attempt(self, run: Run) -> Attempt | Refused:
        """Send an attempt; return a Refused if it was never sent."""
        try:
            connection = await self._get_connection()
        except (OSError, TimeoutError) as error:
            return _refused_not_run(run, f"cannot connect: {type(error).__name__}")
        attempt = Attempt(run.request_id, run.attempt)
        self._attempts[attempt.key] = attempt
        try:
            await connection.send(run)
        except ConnectionError:
            # The bytes may have been sent before the loss was detected. As with any
            # lost connection, the attempt may have run.
            self._fail_lost(attempt)
        return attempt

    def end_attempt(self, attempt: Attempt) -> None:
        """Remove an attempt; if it is still open, send its sidecar a Cancel."""
        if self._attempts.pop(attempt.key, None) is None:
            return
        self.send_if_open(Cancel(attempt.request_id, attempt.number))

    def send_if_open(self, message: Message) -> None:
        """Send a message without a reply; drop it if the connection is not open."""
        if self._connection is None:
            return
        try:
            self._connection.send_nowait((message,))
        except ConnectionError:
            return

    def close(self) -> None:
        """Close the connection and end its open attempts as lost."""
        if self._reader_task is not None:
            self._reader_task.cancel()
        if self._connection is not None:
            self._connection.close()
        self._fail_all_lost()

    async def _get_connection(self) -> Connection:
        """Return the open connection, or open one that all waiting attempts share."""
        if self._connection is not None:
            return self._connection
        async with self._open_lock:
            if self._connection is None:
                await self._open()
            assert self._connection is not None
            return self._connection

    async def _open(self) -> None:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            connection = await connect(*self._address)
        connection.send_nowait((self._hello(),))
        self._connection = connection
        self._reader_task = asyncio.create_task(self._read(connection))

    async def _read(self, connection: Connection) -> None:
        """Deliver messages to their attempts until the connection closes."""
        try:
            while (message := await connection.receive()) is not None:
                self._deliver(message)
        finally:
            connection.close()
            if self._connection is connection:
                self._connection = None
            self._fail_all_lost()

    def _deliver(self, message: Message) -> None:
        if isinstance(message, Hello):
            self.peer = message
        if not isinstance(message, Head | Chunk | End | Refused):
            self._on_control_message(self, message)
            return
        # The answer to an attempt that has already ended may still arrive. Answers
        # are matched by request id and attempt, so it cannot reach another caller.
        attempt = self._attempts.get((message.request_id, message.attempt))
        if attempt is None:
            self.stray_count += 1
            return
        if isinstance(message, Chunk):
            attempt.buffered_bytes += len(message.data)
            if attempt.buffered_bytes > MAX_BUFFERED_BYTES:
                self._cancel_slow_caller(attempt)
                return
        if isinstance(message, End | Refused):
            del self._attempts[attempt.key]
        attempt.events.put_nowait(message)

    def _cancel_slow_caller(self, attempt: Attempt) -> None:
        """Cancel an attempt whose caller reads too slowly.

        Otherwise one caller that stops reading would fill the entry's memory until
        the entry is killed, together with all of its streams.
        """
        self.end_attempt(attempt)
        detail = "the caller does not read its answer"
        attempt.events.put_nowait(
            _refused_may_have_run(attempt, Reason.CANCELLED, detail)
        )

    def _fail_lost(self, attempt: Attempt) -> None:
        self._attempts.pop(attempt.key, None)
        detail = "the connection to the endpoint's instance was lost"
        attempt.events.put_nowait(
            _refused_may_have_run(attempt, Reason.CONNECTION_LOST, detail)
        )

    def _fail_all_lost(self) -> None:
        for attempt in tuple(self._attempts.values()):
            self._fail_lost(attempt)


def _refused_not_run(run: Run, detail: str) -> Refused:
    """Return the Refused of an attempt of which no byte was sent."""
    return Refused(run.request_id, run.attempt, Reason.CONNECTION_LOST, True, detail)


def _refused_may_have_run(attempt: Attempt, reason: Reason, detail: str) -> Refused:
    """Return the Refused of an attempt that may have run."""
    return Refused(attempt.request_id, attempt.number, reason, False, detail)
