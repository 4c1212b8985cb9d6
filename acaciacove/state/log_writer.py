"""Appends to the platform's log by one process: group commit with a rate limit."""

import asyncio
from collections import deque
from collections.abc import Callable
from random import Random

from acaciacove.adapters.platform_log import PlatformLog
from acaciacove.errors import LogQueueFullError
from acaciacove.state.append_result import AppendResult
from acaciacove.state.append_state import AppendState
from acaciacove.state.batch_codec import encode_batch
from acaciacove.state.log_appender import LogAppender
from acaciacove.state.log_health import LogHealth
from acaciacove.state.log_writer_settings import LogWriterSettings
from acaciacove.state.pending_item import PendingItem
from acaciacove.state.priority import Priority
from acaciacove.state.token_bucket import TokenBucket

MIN_WAIT_S = 0.0005  # batches that are due within this time are sent at once
AppendListener = Callable[[str, int, bytes], None]
QUEUE_SHARES = {Priority.DECISION: 1.0, Priority.CLAIM: 0.95, Priority.BILLING: 0.8}


class LogWriter:
    """Queues items, groups them by stream and appends them; ``run`` is its task.

    Each stream has at most one append in flight, so that its items are written in the
    order in which they were submitted. Items submitted without a deadline are
    retained until they are in the log.
    """

    def __init__(
        self,
        log: PlatformLog,
        name: str,
        incarnation: int,
        settings: LogWriterSettings,
        random: Random,
        health: LogHealth | None = None,
    ) -> None:
        """Initialise the writer; it sends nothing before ``run``."""
        self.health = health or LogHealth()
        self._listeners: list[AppendListener] = []
        self._appender = LogAppender(log, self.health, settings, random)
        self._name = name
        self._incarnation = incarnation
        self._settings = settings
        self._sequence = 0
        self._queued = 0
        self._streams: dict[str, deque[PendingItem]] = {}
        self._next_offsets: dict[str, int] = {}
        self._due_s: dict[str, float] = {}
        self._in_flight: dict[str, asyncio.Task[None]] = {}
        self._buckets: dict[Priority, TokenBucket] = {}
        self._wake = asyncio.Event()
        self.configure(settings)

    @property
    def queued(self) -> int:
        """Return the number of items that are waiting or in flight."""
        return self._queued

    @property
    def idle(self) -> bool:
        """Return whether every submitted item has a result."""
        return self._queued == 0

    @property
    def in_flight_tasks(self) -> list["asyncio.Task[None]"]:
        """Return the tasks of the appends in flight, for instance to cancel them."""
        return list(self._in_flight.values())

    def add_listener(self, listener: AppendListener) -> None:
        """Call ``listener`` with stream, offset and payload after each append.

        It is called before the results of the payload's items are set.
        """
        self._listeners.append(listener)

    def configure(self, settings: LogWriterSettings) -> None:
        """Change rates and limits, for instance when the fleet has grown."""
        self._settings = self._appender.settings = settings
        for priority in Priority:
            rate = settings.rate_per_s(priority)
            bucket = self._buckets.get(priority)
            if bucket is None:
                self._buckets[priority] = TokenBucket(rate, settings.burst)
            else:
                bucket.rate_per_s = rate

    def record_end(self, stream: str, next_offset: int) -> None:
        """Record how far a stream has been read; searches for a payload start there."""
        self._next_offsets[stream] = max(self._next_offsets.get(stream, 0), next_offset)

    def has_room(self, priority: Priority) -> bool:
        """Return whether an item of this priority would be accepted now."""
        return self._queued < QUEUE_SHARES[priority] * self._settings.max_items

    def submit(
        self, stream: str, item: bytes, priority: Priority, linger_s: float = 0.0
    ) -> "asyncio.Future[AppendResult]":
        """Queue an item without a deadline; it is retried until it is in the log.

        It waits up to ``linger_s`` for a batch of its stream that is due earlier.
        Raises LogQueueFullError when the priority's share of the queue is used up; the
        caller then retains the item and applies backpressure.
        """
        return self._enqueue(stream, item, priority, linger_s).done

    async def append(
        self, stream: str, item: bytes, priority: Priority, deadline_s: float
    ) -> AppendResult:
        """Append an item by ``deadline_s`` (the loop's time) and return its state.

        An item that has not been sent by then is never sent. One that was sent
        without a reply is in doubt. Raises LogQueueFullError.
        """
        pending = self._enqueue(stream, item, priority)
        timeout_s = max(0.0, deadline_s - asyncio.get_running_loop().time())
        done, _ = await asyncio.wait({pending.done}, timeout=timeout_s)
        if done:
            return pending.done.result()
        pending.abandoned = True
        if pending.sent:
            return AppendResult(AppendState.IN_DOUBT)
        self._dequeue(pending)
        return AppendResult(AppendState.NOT_APPENDED)

    async def run(self) -> None:
        """Append batches until cancelled."""
        try:
            while True:
                self._wake.clear()
                delay_s = self._start_batches(asyncio.get_running_loop().time())
                await self._sleep(delay_s)
        finally:
            for task in list(self._in_flight.values()):
                task.cancel()

    async def flush(self, deadline_s: float) -> bool:
        """Wait until every item has a result; return false at the deadline."""
        loop = asyncio.get_running_loop()
        while not self.idle and loop.time() < deadline_s:
            await asyncio.sleep(min(0.02, max(0.001, deadline_s - loop.time())))
        return self.idle

    def _enqueue(
        self, stream: str, item: bytes, priority: Priority, linger_s: float = 0.0
    ) -> PendingItem:
        if not self.has_room(priority):
            raise LogQueueFullError(self._queued)
        loop = asyncio.get_running_loop()
        done: asyncio.Future[AppendResult] = loop.create_future()
        pending = PendingItem(stream, item, priority, loop.time(), done)
        self._streams.setdefault(stream, deque()).append(pending)
        due_s = loop.time() + linger_s
        self._due_s[stream] = min(due_s, self._due_s.get(stream, due_s))
        self._queued += 1
        self._wake.set()
        return pending

    def _dequeue(self, pending: PendingItem) -> None:
        """Remove an item that was never sent from its queue."""
        queue = self._streams.get(pending.stream)
        if queue is not None and pending in queue:
            queue.remove(pending)
            self._queued -= 1

    async def _sleep(self, delay_s: float | None) -> None:
        """Wait for a new item or a finished append, at most ``delay_s``."""
        try:
            async with asyncio.timeout(delay_s):
                await self._wake.wait()
        except TimeoutError:
            return

    def _start_batches(self, now_s: float) -> float | None:
        """Start all batches that are due; return the seconds until the next is."""
        soonest_s: float | None = None
        for stream in self._ready_streams():
            if len(self._in_flight) >= self._settings.max_in_flight:
                return None
            wait_s = self._wait_s(stream, now_s)
            if wait_s > MIN_WAIT_S:
                soonest_s = wait_s if soonest_s is None else min(soonest_s, wait_s)
                continue
            self._start_batch(stream, now_s)
        return soonest_s

    def _ready_streams(self) -> list[str]:
        """List streams with items and no append in flight, the most urgent first."""
        free = [s for s, q in self._streams.items() if q and s not in self._in_flight]
        return sorted(free, key=self._urgency)

    def _urgency(self, stream: str) -> tuple[Priority, float, str]:
        first = self._streams[stream][0]
        return first.priority, first.queued_s, stream

    def _wait_s(self, stream: str, now_s: float) -> float:
        """Return how much longer a stream's batch has to wait."""
        queue = self._streams[stream]
        first = queue[0]
        bucket = self._buckets[first.priority]
        token_s = bucket.wait_s(now_s)
        if len(queue) >= self._settings.max_batch_items:
            return token_s
        linger_s = self._linger_s(first.priority, bucket)
        return max(token_s, self._due_s[stream] + linger_s - now_s)

    def _linger_s(self, priority: Priority, bucket: TokenBucket) -> float:
        """Return how long to wait for more items: longer when few tokens are left."""
        if priority is Priority.BILLING:
            return self._settings.billing_linger_s
        if priority is Priority.DECISION:
            return 0.0
        used_share = 1.0 - bucket.tokens / bucket.burst
        return self._settings.max_linger_s * max(0.0, used_share - 0.5)

    def _start_batch(self, stream: str, now_s: float) -> None:
        """Send a stream's next batch."""
        batch = self._next_batch(stream)
        self._buckets[batch[0].priority].spend(now_s)
        task = asyncio.create_task(self._commit(stream, batch))
        self._in_flight[stream] = task
        task.add_done_callback(lambda _: self._on_batch_done(stream))

    def _on_batch_done(self, stream: str) -> None:
        self._in_flight.pop(stream, None)
        self._wake.set()

    def _next_batch(self, stream: str) -> list[PendingItem]:
        """Remove items from a stream's queue, up to the limits of a batch."""
        queue = self._streams[stream]
        single = stream in self._settings.single_streams
        limit = 1 if single else self._settings.max_batch_items
        batch = [queue.popleft()]
        size = len(batch[0].data)
        while queue and len(batch) < limit:
            size += len(queue[0].data)
            if size > self._settings.max_batch_bytes:
                break
            batch.append(queue.popleft())
        for item in batch:
            item.sent = True
        self._due_s.pop(stream)
        if queue:
            self._due_s[stream] = queue[0].queued_s
        return batch

    def _payload(self, stream: str, batch: list[PendingItem]) -> bytes:
        """Encode a batch so that no other payload equals it."""
        if stream in self._settings.single_streams:
            return batch[0].data
        self._sequence += 1
        items = [item.data for item in batch]
        return encode_batch(self._name, self._incarnation, self._sequence, items)

    async def _commit(self, stream: str, batch: list[PendingItem]) -> None:
        """Append one batch, with as many retries as necessary."""
        payload = self._payload(stream, batch)
        offset = await self._appender.append(
            stream,
            payload,
            self._next_offsets.get(stream, 0),
            lambda: all(item.abandoned for item in batch),
        )
        if offset is not None:
            for listener in self._listeners:
                listener(stream, offset, payload)
        self._resolve(stream, batch, offset)

    def _resolve(
        self, stream: str, batch: list[PendingItem], offset: int | None
    ) -> None:
        """Set the results of a batch's items."""
        result = AppendResult(AppendState.IN_DOUBT)
        if offset is not None:
            result = AppendResult(AppendState.APPENDED, offset)
            self.record_end(stream, offset + 1)
        self._queued -= len(batch)
        for item in batch:
            if not item.done.done():
                item.done.set_result(result)
