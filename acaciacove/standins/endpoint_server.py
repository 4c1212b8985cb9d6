"""A stand-in for an endpoint of the users' platform: plain service or engine."""

import asyncio
from collections.abc import Callable
from weakref import WeakSet

from acaciacove.gateway.endpoint_report import EndpointReport
from acaciacove.gateway.http.caller_request import CallerRequest
from acaciacove.gateway.http.front_connection import FrontConnection
from acaciacove.platform import names
from acaciacove.standins.endpoint_arrival import EndpointArrival
from acaciacove.standins.endpoint_behaviour import EndpointBehaviour

Fields = list[tuple[bytes, bytes]]
MISDIRECTED = 421
# Time from the start of a run to the crash that it causes.
CRASH_AFTER_S = 0.05


class EndpointServer:
    """Answers requests according to its behaviour and records them."""

    def __init__(
        self,
        report: EndpointReport,
        behaviour: EndpointBehaviour,
        arrivals: list[EndpointArrival],
        crash: Callable[[], None],
    ) -> None:
        """Initialise the server of ``report.instance``; a fleet shares ``arrivals``.

        ``crash`` stops the endpoint and aborts all its connections.
        """
        self.report = report
        self.behaviour = behaviour
        self.arrivals = arrivals
        self.crash = crash
        self.running = 0
        self._fronts: WeakSet[FrontConnection] = WeakSet()
        self._matching_requests = 0

    async def serve(self, request: CallerRequest, front: FrontConnection) -> None:
        """Answer one request."""
        self._fronts.add(front)
        arrival = self._record_arrival(request)
        local = self.report.instance
        expected = arrival.fields.get(names.EXPECTED_INSTANCE.decode(), local)
        if expected != local:
            await self._refuse(front, arrival, MISDIRECTED)
            return
        if self.behaviour.full:
            await self._refuse(front, arrival, 503)
            return
        if self.behaviour.refuses_once and self._is_first_arrival(arrival):
            await self._refuse_twice(front, arrival)
            return
        arrival.ran = True
        self.running += 1
        try:
            await self._run(arrival, front)
            arrival.ended = arrival.ended or "done"
        except BaseException:
            arrival.ended = arrival.ended or "cut"
            raise
        finally:
            arrival.ended_s = asyncio.get_running_loop().time()
            self.running -= 1

    def _record_arrival(self, request: CallerRequest) -> EndpointArrival:
        arrival = EndpointArrival(
            at_s=asyncio.get_running_loop().time(),
            instance=self.report.instance,
            method=request.method.decode(),
            target=request.target.decode(),
            fields={n.decode(): v.decode("latin-1") for n, v in request.headers},
            body=request.body,
        )
        self.arrivals.append(arrival)
        return arrival

    async def _refuse(
        self, front: FrontConnection, arrival: EndpointArrival, status: int
    ) -> None:
        fields = [*self._fields(arrival), (names.NOT_RUN, b"1")]
        arrival.ended_s = asyncio.get_running_loop().time()
        if status == 503 and self.behaviour.retry_after is not None:
            arrival.retry_after = self.behaviour.retry_after
            fields.append((names.RETRY_AFTER, arrival.retry_after.encode()))
        if self.behaviour.cut_refusals:
            front.start_response(status, b"", [*fields, (b"Content-Length", b"99")])
            await front.write(b"full")
            front.close()
            return
        await _send_response(front, status, fields, b"")

    def _is_first_arrival(self, arrival: EndpointArrival) -> bool:
        return (
            sum(
                a.body == arrival.body and a.instance == arrival.instance
                for a in self.arrivals
            )
            == 1
        )

    async def _refuse_twice(
        self, front: FrontConnection, arrival: EndpointArrival
    ) -> None:
        """Refuse a request, and send the refusal again."""
        await self._refuse(front, arrival, 503)
        copy = (
            b"HTTP/1.1 503 \r\nAcaciacove-Not-Executed: 1\r\nAcaciacove-Attempt-Id: "
            + arrival.request_id.encode()
            + b"\r\nContent-Length: 0\r\n\r\n"
        )

        def send_again() -> None:
            for each in self._fronts if self.behaviour.second_on_all else [front]:
                if each.transport is not None and not each.transport.is_closing():
                    each.transport.write(copy)

        loop = asyncio.get_running_loop()
        loop.call_later(self.behaviour.second_refusal_s, send_again)

    async def _run(self, arrival: EndpointArrival, front: FrontConnection) -> None:
        behaviour = self.behaviour
        if behaviour.mute:
            await asyncio.Event().wait()
        if arrival.body in behaviour.crashing_bodies:
            await self._crash(arrival)
        await asyncio.sleep(behaviour.work_s)
        if behaviour.lost_answers or behaviour.cut_after == 0:
            behaviour.lost_answers = max(0, behaviour.lost_answers - 1)
            front.abort()
            return
        fields = self._fields(arrival)
        if not behaviour.unsigned:
            fields.append((names.RECEIPT, self._receipt(arrival)))
        if behaviour.failing or self._fails_by_count(arrival):
            await _send_response(front, 500, fields, b"failed")
        elif names.MODEL.decode() in arrival.fields:
            await self._stream(arrival, front, fields)
        else:
            await self._answer_service(arrival, front, fields)

    async def _crash(self, arrival: EndpointArrival) -> None:
        if self.behaviour.crashes_unattended:
            arrival.ended = "crashed"
            asyncio.get_running_loop().call_later(CRASH_AFTER_S, self.crash)
            await asyncio.Event().wait()
        await asyncio.sleep(CRASH_AFTER_S)
        arrival.ended = "crashed"
        asyncio.get_running_loop().call_soon(self.crash)

    def _has_crashing_part(self, arrival: EndpointArrival) -> bool:
        parts = arrival.fields.get(names.PROMPT_PARTS.decode(), "").split(",")[:-1]
        crashing = self.behaviour.crashing_parts
        return any(part.partition(":")[0] in crashing for part in parts)

    def _fails_by_count(self, arrival: EndpointArrival) -> bool:
        behaviour = self.behaviour
        if not behaviour.failing_every:
            return False
        if not arrival.target.startswith(behaviour.failing_path):
            return False
        self._matching_requests += 1
        return self._matching_requests % behaviour.failing_every == 0

    def _fields(self, arrival: EndpointArrival) -> Fields:
        running = self.running + self.behaviour.other_running
        load = f"{running},{self.behaviour.waiting},{self.report.slots}"
        if self.behaviour.pace_percent is not None:
            load += f",{self.behaviour.pace_percent}"
        fields = [
            (names.REQUEST_ID, arrival.request_id.encode()),
            (names.LOAD, load.encode()),
        ]
        if self.behaviour.limit_per_s is not None:
            fields.append((names.RATE_LIMIT, f"{self.behaviour.limit_per_s}".encode()))
        if self.behaviour.leaving is not None:
            arrival.said_leaving = self.behaviour.leaving
            fields.append((names.LEAVING, self.behaviour.leaving.encode()))
        return fields

    def _receipt(self, arrival: EndpointArrival) -> bytes:
        return f"{self.report.instance}/{arrival.request_id}".encode()

    async def _answer_service(
        self, arrival: EndpointArrival, front: FrontConnection, fields: Fields
    ) -> None:
        body = f"{self.report.instance} served {arrival.request_id}".encode()
        if self.behaviour.late_answer:
            self._send_foreign_answer(front)
        if self.behaviour.early_end:
            front.start_response(200, b"", [*fields, (b"Content-Length", b"999")])
            await front.write(body)
            front.close()
            arrival.ended = "broken"
            return
        if self.behaviour.close_delimited:
            self._answer_close_delimited(arrival, front, fields, body)
            return
        await _send_response(front, 200, fields, body)

    def _answer_close_delimited(
        self,
        arrival: EndpointArrival,
        front: FrontConnection,
        fields: Fields,
        body: bytes,
    ) -> None:
        """Answer with a body that only the end of the connection delimits.

        With ``crash_after`` the endpoint crashes halfway.
        """
        assert front.transport is not None
        is_cut = self.behaviour.crash_after is not None
        sent = body[: len(body) // 2] if is_cut else body
        front.transport.write(_close_delimited_head(fields) + sent)
        if is_cut:
            arrival.ended = "crashed"
            self.crash()
        else:
            front.close()

    def _send_foreign_answer(self, front: FrontConnection) -> None:
        """Write the answer of another request before that of this one."""
        assert front.transport is not None
        other = b"HTTP/1.1 200 OK\r\n" + names.REQUEST_ID + b": somebody-else\r\n"
        other += names.RECEIPT + b": x\r\nContent-Length: 5\r\n\r\nother"
        front.transport.write(other)

    async def _stream(
        self, arrival: EndpointArrival, front: FrontConnection, fields: Fields
    ) -> None:
        behaviour = self.behaviour
        model = arrival.fields[names.MODEL.decode()]
        confidence = (behaviour.confidence or {}).get(model)
        if confidence is not None:
            fields = [*fields, (names.CONFIDENCE, str(confidence).encode())]
        if behaviour.document is not None:
            fields = [*fields, (b"Content-Type", b"application/json")]
            await _send_response(front, 200, fields, behaviour.document)
            return
        fields = [*fields, (b"Content-Type", b"text/event-stream")]
        if behaviour.close_delimited:
            await self._stream_close_delimited(arrival, front, fields)
            return
        front.start_response(200, b"", fields)
        begin = int(arrival.fields.get(names.LAST_EVENT_ID.decode(), "0"))
        for number in range(begin + 1, behaviour.events + 1):
            event = self._event(model, number)
            if behaviour.cut_after is not None and number > behaviour.cut_after:
                await front.write(event[: len(event) // 2])
                if behaviour.ends_inside_event:
                    front.finish_response()
                else:
                    front.close()
                arrival.ended = "broken"
                return
            if not await self._write_with_timeout(front, event):
                front.abort()
                arrival.ended = "unread"
                return
            if self._has_crashing_part(arrival):
                await self._crash(arrival)
                return
            await asyncio.sleep(behaviour.gap_s)
        front.finish_response()

    def _event(self, model: str, number: int) -> bytes:
        event = f"id: {number}\ndata: {model} {number}".encode()
        return event.ljust(self.behaviour.event_bytes, b".") + b"\n\n"

    async def _stream_close_delimited(
        self, arrival: EndpointArrival, front: FrontConnection, fields: Fields
    ) -> None:
        """Stream events that only the end of the connection delimits."""
        behaviour = self.behaviour
        assert front.transport is not None
        front.transport.write(_close_delimited_head(fields))
        model = arrival.fields[names.MODEL.decode()]
        begin = int(arrival.fields.get(names.LAST_EVENT_ID.decode(), "0"))
        for number in range(begin + 1, behaviour.events + 1):
            event = self._event(model, number)
            if behaviour.cut_after is not None and number > behaviour.cut_after:
                front.transport.write(event[: len(event) // 2])
                arrival.ended = "broken"
                break
            if behaviour.crash_after is not None and number > behaviour.crash_after:
                arrival.ended = "crashed"
                self.crash()
                return
            front.transport.write(event)
            if self._has_crashing_part(arrival):
                await self._crash(arrival)
                return
            await asyncio.sleep(behaviour.gap_s)
        front.close()

    async def _write_with_timeout(self, front: FrontConnection, event: bytes) -> bool:
        """Write an event; return False if it stays unread until the timeout."""
        try:
            async with asyncio.timeout(self.behaviour.unread_timeout_s):
                await front.write(event)
                await front.flush()
        except TimeoutError:
            return False
        return True


def _close_delimited_head(fields: Fields) -> bytes:
    lines = [b"HTTP/1.1 200 OK", *(name + b": " + value for name, value in fields)]
    return b"\r\n".join(lines) + b"\r\n\r\n"


async def _send_response(
    front: FrontConnection, status: int, fields: Fields, body: bytes
) -> None:
    headers = [*fields, (b"Content-Length", str(len(body)).encode())]
    front.start_response(status, b"", headers)
    await front.write(body)
    front.finish_response()
