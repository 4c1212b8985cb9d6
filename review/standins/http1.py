"""HTTP/1.1 messages over asyncio streams, as far as the stand-ins need them."""

import asyncio
from dataclasses import dataclass

HEAD_END = b"\r\n\r\n"


class BrokenMessageError(Exception):
    """The other side closed or reset the connection within a message."""


@dataclass
class Message:
    """The start line, the fields (names in lower case) and the body of a message."""

    start: str
    fields: dict[str, str]
    body: bytes


async def read_message(
    reader: asyncio.StreamReader, is_response: bool = False
) -> Message | None:
    """Return the next message; None if the connection ends before its first byte."""
    try:
        head = await reader.readuntil(HEAD_END)
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise BrokenMessageError("the head is cut off") from error
        return None
    except ConnectionError as error:
        raise BrokenMessageError(repr(error)) from error
    start, *lines = head[: -len(HEAD_END)].decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    fields = {name.strip().lower(): value.strip() for name, _, value in pairs}
    try:
        body = await _read_body(reader, fields, is_response)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise BrokenMessageError("the body is cut off") from error
    return Message(start, fields, body)


async def _read_body(
    reader: asyncio.StreamReader, fields: dict[str, str], is_response: bool
) -> bytes:
    if fields.get("transfer-encoding", "").lower() == "chunked":
        return await _read_chunks(reader)
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    return await reader.read() if is_response else b""


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return body


def write_message(start: str, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message with a Content-Length."""
    lines = [start, *(f"{name}: {value}" for name, value in fields.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + HEAD_END + body
