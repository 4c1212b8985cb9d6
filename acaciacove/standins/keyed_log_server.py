"""HTTP server that stands in for the log of the users' platform."""

import asyncio
from base64 import b64encode
from struct import Struct
from urllib.parse import parse_qsl, urlsplit

import orjson

from acaciacove.gateway.http.caller_request import CallerRequest
from acaciacove.gateway.http.front_connection import FrontConnection
from acaciacove.standins.keyed_log_state import KeyedLogState

ANSWER_S = 0.004
DEFAULT_MAX_READ_KB = 1024
CHUNK_BYTES = 16_384
ERA_HEADER = b"Store-Era"
_LENGTH = Struct(">I")
_OFFSETS = Struct(">QQ")
MS = 1000.0


class KeyedLogServer:
    """Answers the calls that a gateway makes to the log."""

    def __init__(self, state: KeyedLogState) -> None:
        """Initialise a server of ``state``, which tests change while it runs."""
        self.state = state

    async def serve(self, request: CallerRequest, front: FrontConnection) -> None:
        """Answer one call, or fail according to the state's faults."""
        caller = dict(request.headers).get(b"user-agent", b"").decode()
        if await self._fails(front, caller):
            return
        await asyncio.sleep(ANSWER_S)
        parts = urlsplit(request.target.decode())
        query = dict(parse_qsl(parts.query))
        call = parts.path.rsplit("/", 1)[-1]
        if call == "log-newest":
            await self._newest(query, front)
        elif call == "log-read":
            await self._read(query, front, caller)
        elif call == "log-append":
            await self._append(query, request.body, front)
        else:
            await self._answer(front, 404, b"{}")

    async def _fails(self, front: FrontConnection, caller: str) -> bool:
        state = self.state
        if caller in state.rejected_callers:
            await self._answer(front, 503, b"{}")
            return True
        if state.down is None:
            return False
        if state.failing_callers and caller not in state.failing_callers:
            return False
        if state.down == "busy":
            await self._answer(front, 503, b"{}")
        elif state.down == "reset":
            front.abort()
        else:
            await asyncio.Event().wait()
        return True

    async def _newest(self, query: dict[str, str], front: FrontConnection) -> None:
        self.state.reads += 1
        stream = query["topic"]
        items = [
            {"key": key, "value": b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(self.state.newest[stream].items())
        ]
        document = {
            "items": items,
            "hasMore": False,
            "endOffset": self.state.end(stream),
        }
        await self._answer(front, 200, orjson.dumps(document))

    async def _read(
        self, query: dict[str, str], front: FrontConnection, caller: str
    ) -> None:
        self.state.reads += 1
        stream = query["topic"]
        self.state.last_readers[stream] = caller
        offset = int(query["source"])
        if not self.state.first[stream] <= offset <= self.state.end(stream):
            document = {"firstOffset": self.state.first[stream]}
            await self._answer(front, 410, orjson.dumps(document))
            return
        wait_s = int(query.get("waitMs", "0")) / MS
        await self.state.wait_for(stream, offset, wait_s)
        if await self._fails(front, caller):
            return
        first = self.state.first[stream]
        if offset > self.state.end(stream):
            # The log was restored from a copy while the call waited.
            await self._answer(front, 410, orjson.dumps({"firstOffset": first}))
            return
        body = _OFFSETS.pack(self.state.end(stream), first)
        max_bytes = int(query.get("maxReadKb", DEFAULT_MAX_READ_KB)) * 1024
        for key, value in self.state.records[stream][offset - first :]:
            content = bytes([len(key.encode())]) + key.encode() + value
            body += _LENGTH.pack(len(content)) + content
            if len(body) > max_bytes:
                # The last record is cut off, as the log does not wait for its end.
                body = body[:max_bytes]
                self.state.partial_reads += 1
                break
        await self._answer(front, 200, body)

    async def _append(
        self, query: dict[str, str], body: bytes, front: FrontConnection
    ) -> None:
        self.state.writes += 1
        stream = query["topic"]
        end = self.state.end(stream)
        if "at" in query and int(query["at"]) != end:
            await self._answer(front, 412, orjson.dumps({"endOffset": end}))
            return
        content = body[_LENGTH.size :]
        key_end = 1 + content[0]
        key, value = content[1:key_end].decode(), content[key_end:]
        new_end = self.state.append(stream, key, value)
        if self.state.lost_replies:
            self.state.lost_replies -= 1
            await asyncio.Event().wait()
        document = {"offset": end, "endOffset": new_end}
        await self._answer(front, 200, orjson.dumps(document))

    async def _answer(self, front: FrontConnection, status: int, body: bytes) -> None:
        headers = [(b"Content-Length", str(len(body)).encode())]
        if self.state.states_era:
            headers.append((ERA_HEADER, str(self.state.era).encode()))
        front.start_response(status, b"", headers)
        rate = self.state.link_bytes_per_s
        for start in range(0, len(body), CHUNK_BYTES):
            chunk = body[start : start + CHUNK_BYTES]
            if rate is not None:
                await asyncio.sleep(len(chunk) / rate)
            await front.write(chunk)
        front.finish_response()
