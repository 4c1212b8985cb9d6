"""A stand-in of a sound model replica that streams events and may fall silent."""

import asyncio
from dataclasses import dataclass, field

from review2_replica import Replica, Run
from review2_wire import Message, encode_response, read_message

MODEL_SLOTS = 64


@dataclass
class Engine(Replica):
    """Streams ``events`` events at intervals of ``gap_s``; resumes after an id.

    While it reads a long prompt, its streams pause, and it doesn't look at their
    channels: that one has closed is noticed with the next event.
    """

    events: int = 10
    gap_s: float = 0.25
    streams: int = 0
    awake: asyncio.Event = field(default_factory=asyncio.Event)

    def entry(self) -> dict[str, object]:
        """Return the next ping."""
        return super().entry() | {"slots": MODEL_SLOTS}

    async def fall_silent(self, seconds: float) -> None:
        """Pause all streams for some time."""
        self.awake.clear()
        await asyncio.sleep(seconds)
        self.awake.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._open.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                expected = request.fields.get("acaciacove-expected-instance", self.name)
                if expected != self.name:
                    writer.write(encode_response(421, {}, b""))
                    continue
                await self._stream(request, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The channel has closed, or the case has ended.
            return
        finally:
            self._open.discard(writer)
            writer.close()

    async def _stream(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        attempt_id = request.fields["acaciacove-attempt-id"]
        run = Run(attempt_id, self.name, asyncio.get_running_loop().time())
        self.runs.append(run)
        self.streams += 1
        try:
            head = (
                "HTTP/1.1 200 OK\r\n"
                f"Acaciacove-Attempt-Id: {attempt_id}\r\n"
                f"Acaciacove-Response-Signature: {self.name}.{attempt_id}\r\n"
                f"Acaciacove-Replica-Load: {self.streams},0,{MODEL_SLOTS}\r\n"
                "Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"
            )
            writer.write(head.encode())
            first = int(request.fields.get("last-event-id", "0")) + 1
            for number in range(first, self.events + 1):
                event = f"id: {number}\ndata: token {number}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
                await asyncio.sleep(self.gap_s)
                await self.awake.wait()
                if reader.at_eof() or writer.is_closing():
                    raise ConnectionResetError("the channel has closed")
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            run.ended = "done"
        finally:
            self.streams -= 1
            run.ended_s = asyncio.get_running_loop().time()
