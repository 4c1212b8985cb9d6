"""Server for message connections of other processes."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from socket import socket

from acaciacove.wire.connection import Connection

OnConnection = Callable[[Connection], Awaitable[None]]


@asynccontextmanager
async def message_server(
    listener: socket | tuple[str, int], on_connection: OnConnection
) -> AsyncIterator[None]:
    """Accept connections on a listening socket or an address while the block runs.

    At the end of the block, open connections and the socket are closed.
    """
    sessions: set[asyncio.Task[None]] = set()

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        session = asyncio.current_task()
        assert session is not None
        sessions.add(session)
        try:
            await on_connection(Connection(reader, writer))
        except asyncio.CancelledError:
            # The server is closing. Otherwise asyncio would print a traceback for
            # each open connection, which looks like a fault in the log.
            return
        finally:
            sessions.discard(session)

    if isinstance(listener, socket):
        server = await asyncio.start_server(accept, sock=listener)
    else:
        server = await asyncio.start_server(accept, *listener)
    try:
        yield
    finally:
        server.close()
        for session in tuple(sessions):
            session.cancel()
        await asyncio.gather(*sessions, return_exceptions=True)
