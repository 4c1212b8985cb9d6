"""A stand-in of the platform's store: a log with keyed topics.

It loses nothing that it has acknowledged, its answers are linearizable, and a read
waits until a record is there or its time is over.
"""

import asyncio
import json
from base64 import b64encode
from struct import pack, unpack_from
from urllib.parse import parse_qs, urlsplit

from review2_wire import Message, encode_response, read_message

OPERATOR = "keyed.op"
SERVERS = "keyed.servers"
PAGE_ITEMS = 500
FIRST_RETRANSMISSION_S = 0.2
# How long a gateway waits for a connection to the store.
CONNECT_TIMEOUT_S = 0.8


class Store:
    """The store's topics; only partition 0 is used."""

    def __init__(self) -> None:
        """Start empty."""
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self.is_cut = False
        self._grown = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def open(self, host: str) -> str:
        """Listen on a free port; return the address."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        return f"{host}:{port}"

    def put(self, topic: str, key: str, document: object) -> int:
        """Append the newest record of a key as JSON; return its offset."""
        return self.put_bytes(topic, key, json.dumps(document).encode())

    def put_bytes(self, topic: str, key: str, value: bytes) -> int:
        """Append the newest record of a key; without a value the key is dropped."""
        records = self.topics.setdefault(topic, [])
        records.append((key, value))
        self._grown.set()
        self._grown = asyncio.Event()
        return len(records) - 1

    def newest(self, topic: str) -> dict[str, tuple[int, bytes]]:
        """Return offset and value of the newest record of each key."""
        found: dict[str, tuple[int, bytes]] = {}
        for offset, (key, value) in enumerate(self.topics.get(topic, [])):
            found.pop(key, None)
            if value:
                found[key] = (offset, value)
        return found

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.is_cut:
            # A connection can't be made during a cut, but the kernel makes it here. It
            # is ended when the gateway would have given up.
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            writer.transport.abort()
            return
        try:
            while (request := await read_message(reader)) is not None:
                answer = await self._answer(request)
                await self._pass_cut()
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # Cancelled at the end of the case.
            return
        finally:
            writer.close()

    async def _pass_cut(self) -> None:
        """Hold a message back that a cut keeps off, until TCP sends it again."""
        pause_s = FIRST_RETRANSMISSION_S
        while self.is_cut:
            await asyncio.sleep(pause_s)
            pause_s *= 2

    async def _answer(self, request: Message) -> bytes:
        await self._pass_cut()
        target = urlsplit(request.first_line.split(" ")[1])
        query = {name: values[-1] for name, values in parse_qs(target.query).items()}
        topic = query.get("topic", "")
        if target.path == "/-/log-append":
            return self._append(topic, query, request.body)
        if target.path == "/-/log-read":
            return await self._read(topic, query)
        if target.path == "/-/log-newest":
            return self._newest(topic, query)
        return encode_response(404, {}, b"")

    def _append(self, topic: str, query: dict[str, str], body: bytes) -> bytes:
        end = len(self.topics.get(topic, []))
        if topic in (OPERATOR, SERVERS):
            return encode_response(403, {}, b"")
        if "at" in query and int(query["at"]) != end:
            return _json(412, {"endOffset": end})
        at = 0
        while at < len(body):
            (length,) = unpack_from(">I", body, at)
            content = body[at + 4 : at + 4 + length]
            key_end = 1 + content[0]
            self.put_bytes(topic, content[1:key_end].decode(), content[key_end:])
            at += 4 + length
        new_end = len(self.topics.get(topic, []))
        return _json(200, {"offset": end, "endOffset": new_end})

    async def _read(self, topic: str, query: dict[str, str]) -> bytes:
        source = int(query["source"])
        loop = asyncio.get_running_loop()
        until_s = loop.time() + int(query.get("waitMs", "0")) / 1000
        while len(self.topics.get(topic, [])) <= source and loop.time() < until_s:
            grown = self._grown
            try:
                async with asyncio.timeout_at(until_s):
                    await grown.wait()
            except TimeoutError:
                break
        records = self.topics.get(topic, [])
        limit = int(query.get("maxReadKb", "1024")) * 1024
        body = pack(">QQ", len(records), 0)
        for key, value in records[source:]:
            name = key.encode()
            content = bytes([len(name)]) + name + value
            if len(body) + 4 + len(content) > limit:
                break
            body += pack(">I", len(content)) + content
        return encode_response(200, {}, body)

    def _newest(self, topic: str, query: dict[str, str]) -> bytes:
        after = query.get("after")
        found = sorted(self.newest(topic).items())
        found = [each for each in found if after is None or each[0] > after]
        items = [
            {"key": key, "value": b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in found[:PAGE_ITEMS]
        ]
        document = {
            "items": items,
            "hasMore": len(found) > PAGE_ITEMS,
            "endOffset": len(self.topics.get(topic, [])),
        }
        return _json(200, document)


def _json(status: int, document: object) -> bytes:
    fields = {"Content-Type": "application/json"}
    return encode_response(status, fields, json.dumps(document).encode())
