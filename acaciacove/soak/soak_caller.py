"""Callers of a soak, which record each request and its answer."""

import asyncio
import math
from random import Random

import h11

from acaciacove.platform import names
from acaciacove.soak.addresses import FRONT_PORT
from acaciacove.soak.bounds import CALLER_TIME_S
from acaciacove.soak.call_kind import CallKind
from acaciacove.soak.call_record import CallRecord
from acaciacove.soak.soak_catalogue import HOST, KEYS
from acaciacove.soak.soak_environment import SoakEnvironment
from acaciacove.standins.slow_caller import connect_slow_caller

# How long a caller waits for an answer beyond its deadline.
ANSWER_GRACE_S = 1.0
CONNECT_TIMEOUT_S = 1.0
MEAN_THINK_TIME_S = 0.08
# Share of calls that use a revoked key.
REVOKED_SHARE = 0.15
# Share of calls that repeat a request that crashes endpoints.
CRASHING_SHARE = 0.1
# Share of calls that have a part of their prompts that crashes endpoints.
CRASHING_PART_SHARE = 0.06
READ_BYTES = 65_536
# Share of calls that are read slowly while callers are slow; of these, how many never.
SLOW_SHARE = 0.4
NEVER_READ_SHARE = 0.25
READ_PAUSE_S = (0.5, 3.0)
SLOW_READ_BYTES = 4_096
SLOW_READ_INTERVAL_S = 0.01
# How much longer slow callers wait: beyond their pause by several times what it takes
# to read a long answer at their rate.
SLOW_GRACE_S = 3.0
MS = 1000.0


class SoakCaller:
    """Sends one request after another, on a persistent connection if it has one."""

    def __init__(self, number: int, environment: SoakEnvironment) -> None:
        """Start without a connection."""
        self._number = number
        self._environment = environment
        self._random = Random(f"{environment.settings.seed}/caller/{number}")
        self._slow_random = Random(f"{environment.settings.seed}/slow/{number}")
        self._part_random = Random(f"{environment.settings.seed}/part/{number}")
        self._read_pause_s: float | None = None
        self._gateway = 0
        self._sent = 0
        self._connection = h11.Connection(h11.CLIENT)
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        """Call until cancelled."""
        try:
            while True:
                await asyncio.sleep(self._random.expovariate(1.0 / MEAN_THINK_TIME_S))
                self._draw_read_pause()
                if self._writer is None and not await self._connect():
                    continue
                await self._call()
        finally:
            self._disconnect()

    def _draw_read_pause(self) -> None:
        """Decide whether the next call is read slowly, on a connection of its own."""
        self._read_pause_s = None
        random = self._slow_random
        if self._environment.are_callers_slow and random.random() < SLOW_SHARE:
            self._disconnect()
            is_read = random.random() >= NEVER_READ_SHARE
            self._read_pause_s = random.uniform(*READ_PAUSE_S) if is_read else math.inf

    async def _connect(self) -> bool:
        ready = sorted(self._environment.ready) or range(
            len(self._environment.gateways)
        )
        self._gateway = self._random.choice(list(ready))
        if self._environment.are_connections_concentrated:
            self._gateway = min(ready)
        host = self._environment.addresses.gateway(self._gateway)
        self._connection = h11.Connection(h11.CLIENT)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self._reader, self._writer = await self._open_connection(host)
        except (OSError, TimeoutError):
            # Nothing was sent, so there is nothing to record for the checks.
            return False
        return True

    async def _open_connection(
        self, host: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._read_pause_s is None:
            return await asyncio.open_connection(host, FRONT_PORT)
        caller = await connect_slow_caller(host, FRONT_PORT, CONNECT_TIMEOUT_S)
        return await asyncio.open_connection(
            sock=caller.connection, limit=SLOW_READ_BYTES
        )

    async def _call(self) -> None:
        loop = asyncio.get_running_loop()
        self._sent += 1
        call = CallRecord(
            request_id=f"{self._number}-{self._sent}",
            kind=self._random.choice(list(CallKind)),
            key=self._key(),
            gateway=self._gateway,
            sent_s=loop.time(),
            read_pause_s=self._read_pause_s,
        )
        timeout_s = CALLER_TIME_S + ANSWER_GRACE_S
        if call.read_pause_s is None:
            self._make_crashing(call)
            self._add_crashing_part(call)
        else:
            call.kind = CallKind.DRAFT
            timeout_s += SLOW_GRACE_S
        self._environment.calls.append(call)
        try:
            async with asyncio.timeout(timeout_s):
                self._send(call)
                await self._read(call)
        except TimeoutError:
            # No complete answer in time: ``complete`` stays unset in the record.
            self._disconnect()
        except (OSError, h11.RemoteProtocolError):
            call.closed = True
            self._disconnect()
        call.ended_s = loop.time()
        if self._environment.are_connections_concentrated:
            self._disconnect()
            return
        is_quick = call.read_pause_s is None
        if is_quick and self._connection.our_state is h11.DONE and call.complete:
            try:
                self._connection.start_next_cycle()
            except h11.LocalProtocolError:
                self._disconnect()
        else:
            self._disconnect()

    def _key(self) -> str:
        revoked = list(self._environment.revoked_s)
        if revoked and self._random.random() < REVOKED_SHARE:
            return self._random.choice(revoked)
        return self._random.choice(self._environment.keys or list(KEYS))

    def _make_crashing(self, call: CallRecord) -> None:
        """Turn some calls into repeats of a request that crashes endpoints."""
        crashing = list(self._environment.crashing.items())
        if not crashing or self._random.random() >= CRASHING_SHARE:
            return
        call.sent_body, call.key = self._random.choice(crashing)
        call.kind = CallKind.LOOK

    def _add_crashing_part(self, call: CallRecord) -> None:
        """Give some calls a part of their prompt that crashes endpoints."""
        parts = list(self._environment.crashing_parts)
        is_other = call.sent_body in self._environment.crashing
        if not parts or is_other or self._part_random.random() >= CRASHING_PART_SHARE:
            return
        call.crashing_part = self._part_random.choice(parts)
        call.kind = CallKind.DRAFT

    def _send(self, call: CallRecord) -> None:
        assert self._writer is not None
        headers = [
            (b"Host", HOST.encode()),
            (names.REQUEST_ID, call.request_id.encode()),
            (names.AUTHORIZATION, f"Bearer {call.key}".encode()),
            (names.DEADLINE_MS, str(int(CALLER_TIME_S * MS)).encode()),
            (b"Content-Length", str(len(call.sent_body)).encode()),
        ]
        if call.kind is CallKind.DRAFT:
            subject = f"{self._random.randrange(20):x}"
            middle = call.crashing_part or subject
            parts = f"common:400,{middle}:400,{self._number}{self._sent}:200"
            headers += [
                (names.MODEL, names.ANY_MODEL.encode()),
                (names.TOKENS, b"1000,40"),
                (names.PROMPT_PARTS, parts.encode()),
            ]
        target = f"/{call.kind.value}/{self._target_of(call)}"
        request = h11.Request(method="POST", target=target, headers=headers)
        data = self._connection.send(request) or b""
        data += self._connection.send(h11.Data(data=call.sent_body)) or b""
        data += self._connection.send(h11.EndOfMessage()) or b""
        self._writer.write(data)

    def _target_of(self, call: CallRecord) -> str:
        if call.sent_body in self._environment.crashing:
            return call.sent_body.decode()
        return f"{self._number}/{self._sent}"

    async def _read(self, call: CallRecord) -> None:
        assert self._reader is not None
        read_bytes, interval_s = READ_BYTES, 0.0
        if call.read_pause_s is not None:
            read_bytes, interval_s = SLOW_READ_BYTES, SLOW_READ_INTERVAL_S
            await asyncio.sleep(call.read_pause_s)
        while True:
            event = self._connection.next_event()
            if event is h11.NEED_DATA:
                await asyncio.sleep(interval_s)
                data = await self._reader.read(read_bytes)
                self._connection.receive_data(data)
            elif isinstance(event, h11.Response):
                call.status = event.status_code
                fields = {n.decode(): v.decode() for n, v in event.headers}
                call.receipt = fields.get(names.RECEIPT.decode(), "")
                call.retry_after = fields.get(names.RETRY_AFTER.decode())
            elif isinstance(event, h11.Data):
                call.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                call.complete = True
                return
            else:
                call.closed = True
                return

    def _disconnect(self) -> None:
        if self._writer is not None:
            self._writer.transport.abort()
            self._writer = None
