"""HTTP/1.1 over asyncio streams, as far as the stand-ins of this review need it."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

MAX_HEAD_BYTES = 65_536


@dataclass
class Message:
    """One request or response: its first line, header fields and body."""

    first_line: str
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message, None if the channel ended before its first byte.

    Raises asyncio.IncompleteReadError if the channel ends inside the message.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    lines = head.decode("latin-1").split("\r\n")
    message = Message(lines[0])
    for line in lines[1:]:
        name, found, value = line.partition(":")
        if found:
            message.fields[name.strip().lower()] = value.strip()
    if message.fields.get("transfer-encoding", "").lower() == "chunked":
        message.body = b"".join([chunk async for chunk in read_chunks(reader)])
    else:
        length = int(message.fields.get("content-length", "0"))
        message.body = await reader.readexactly(length)
    return message


async def read_chunks(reader: asyncio.StreamReader) -> AsyncIterator[bytes]:
    """Yield the chunks of a body; raises IncompleteReadError if it is cut off."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return
        yield chunk[:-2]


def encode_response(status: int, fields: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def encode_request(
    method: str, target: str, fields: dict[str, str], body: bytes = b""
) -> bytes:
    """Return the bytes of a request with a length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
