"""Listens for messages of other processes."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

from acaciacove.wire.connection import Connection

Handler = Callable[[Connection], Awaitable[None]]


@asynccontextmanager
async def message_server(host: str, port: int, handle: Handler) -> AsyncIterator[int]:
    """Accept connections while the block runs; yields the bound port.

    Connections that are open at the end are closed. Raises OSError when the
    address is taken.
    """
    sessions: set[asyncio.Task[None]] = set()

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        session = asyncio.current_task()
        assert session is not None
        sessions.add(session)
        try:
            await handle(Connection(reader, writer))
        finally:
            sessions.discard(session)

    server = await asyncio.start_server(accept, host, port)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()
        for session in tuple(sessions):
            session.cancel()
        await asyncio.gather(*sessions, return_exceptions=True)
