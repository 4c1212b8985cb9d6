"""A stand-in of the platform's store in the form of a log."""

import asyncio
import base64
import json
import struct
from collections import defaultdict
from urllib.parse import parse_qsl, urlsplit

from standins.http1 import BrokenMessageError, Message, read_message, write_message

LATENCY_S = 0.004
MAX_WAIT_S = 30.0
REASONS = {200: "OK", 404: "Not Found", 412: "Precondition Failed"}


class Store:
    """Topics with one partition each; nothing expires within the time of a case."""

    def __init__(self) -> None:
        """Start with empty topics."""
        self._records: dict[str, list[bytes]] = defaultdict(list)
        self._newest: dict[str, dict[str, tuple[int, bytes]]] = defaultdict(dict)
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self, host: str, port: int) -> None:
        """Listen for calls."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record with a key; without a value the key is dropped."""
        name = key.encode()
        self._append(topic, bytes([len(name)]) + name + value)

    def put_json(self, topic: str, key: str, document: object) -> None:
        """Append a record whose value is JSON."""
        self.put(topic, key, json.dumps(document).encode())

    def _append(self, topic: str, content: bytes) -> None:
        offset = len(self._records[topic])
        self._records[topic].append(content)
        key = content[1 : 1 + content[0]].decode()
        value = content[1 + content[0] :]
        if value:
            self._newest[topic][key] = (offset, value)
        else:
            self._newest[topic].pop(key, None)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while (call := await read_message(reader)) is not None:
                await asyncio.sleep(LATENCY_S)
                status, body = await self._answer(call)
                start = f"HTTP/1.1 {status} {REASONS[status]}"
                writer.write(write_message(start, {}, body))
                await writer.drain()
        except (BrokenMessageError, ConnectionError, asyncio.CancelledError):
            return
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _answer(self, call: Message) -> tuple[int, bytes]:
        parts = urlsplit(call.start.split()[1])
        query = dict(parse_qsl(parts.query))
        topic = query.get("topic", "")
        if parts.path == "/-/log-newest":
            return 200, self._read_newest(topic)
        if parts.path == "/-/log-read":
            return 200, await self._read(topic, query)
        if parts.path == "/-/log-append":
            return self._append_call(topic, query, call.body)
        return 404, b"{}"

    def _read_newest(self, topic: str) -> bytes:
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(self._newest[topic].items())
        ]
        end = len(self._records[topic])
        document = {"items": items, "hasMore": False, "endOffset": end}
        return json.dumps(document).encode()

    async def _read(self, topic: str, query: dict[str, str]) -> bytes:
        source = int(query["source"])
        wait_s = min(MAX_WAIT_S, int(query.get("waitMs", "0")) / 1000.0)
        loop = asyncio.get_running_loop()
        until_s = loop.time() + wait_s
        while len(self._records[topic]) <= source and loop.time() < until_s:
            changed = self._changed
            try:
                async with asyncio.timeout_at(until_s):
                    await changed.wait()
            except TimeoutError:
                break
        body = struct.pack(">QQ", len(self._records[topic]), 0)
        for content in self._records[topic][source:]:
            body += struct.pack(">I", len(content)) + content
        return body

    def _append_call(
        self, topic: str, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        end = len(self._records[topic])
        if "at" in query and int(query["at"]) != end:
            return 412, json.dumps({"endOffset": end}).encode()
        at = 0
        while at < len(body):
            (length,) = struct.unpack_from(">I", body, at)
            self._append(topic, body[at + 4 : at + 4 + length])
            at += 4 + length
        document = {"offset": end, "endOffset": len(self._records[topic])}
        return 200, json.dumps(document).encode()
