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
        """Remember where the sidecar listens; nothing is opened yet."""
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
        """Send an attempt; a Refused says that it never left this process."""
        try:
            connection = await self._get_connection()
        except (OSError, TimeoutError) as error:
            return _refused_not_run(run, f"cannot connect: {type(error).__name__}")
        attempt = Attempt(run.request_id, run.attempt)
        self._attempts[attempt.key] = attempt
        try:
            await connection.send(run)
        except ConnectionError:
            # The bytes may have left before the loss was noticed, so the reader's
            # verdict on lost connections stands: not known to be not run.
            self._fail_lost(attempt)
        return attempt

    def end_attempt(self, attempt: Attempt) -> None:
        """Forget an attempt; if it is still open its sidecar is told to stop."""
        if self._attempts.pop(attempt.key, None) is None:
            return
        self.send_if_open(Cancel(attempt.request_id, attempt.number))

    def send_if_open(self, message: Message) -> None:
        """Send a message that needs no answer, if the connection is open."""
        if self._connection is None:
            return
        try:
            self._connection.send_soon((message,))
        except ConnectionError:
            return

    def close(self) -> None:
        """Close the connection; attempts that are open are lost."""
        if self._reader_task is not None:
            self._reader_task.cancel()
        if self._connection is not None:
            self._connection.close()
        self._fail_all_lost()

    async def _get_connection(self) -> Connection:
        """Return the open connection, or open one for all who wait."""
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
        connection.send_soon((self._hello(),))
        self._connection = connection
        self._reader_task = asyncio.create_task(self._read(connection))

    async def _read(self, connection: Connection) -> None:
        """Hand messages to their attempts until the peer closes."""
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
        # An answer of an attempt that was given up may still arrive. It is matched
        # by request id and attempt, so it can never reach another caller.
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
        """Stop an attempt whose caller reads too slowly.

        Otherwise one caller that stops reading would fill the entry's memory, seen
        as an entry that is killed with all of its streams.
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
    """Refuse an attempt of which no byte has left."""
    return Refused(run.request_id, run.attempt, Reason.CONNECTION_LOST, True, detail)


def _refused_may_have_run(attempt: Attempt, reason: Reason, detail: str) -> Refused:
    """End an attempt that may have run."""
    return Refused(attempt.request_id, attempt.number, reason, False, detail)
