"""Bytes of one open connection between two processes of the system."""

import asyncio
import tracemalloc

from acaciacove.wire.connection import Connection, connect

CONNECTIONS = 200
SIDES = 2
LOOPBACK = "127.0.0.1"


async def measure_connection_bytes() -> float:
    """Open many connections to this process; each has two sides in it."""
    accepted: list[Connection] = []
    ended: list[Connection] = []

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection(reader, writer)
        accepted.append(connection)
        await connection.receive()
        connection.close()
        ended.append(connection)

    server = await asyncio.start_server(accept, LOOPBACK, 0)
    port = server.sockets[0].getsockname()[1]
    opened = [await connect(LOOPBACK, port)]
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        opened += [await connect(LOOPBACK, port) for _ in range(CONNECTIONS)]
        while len(accepted) < len(opened):
            await asyncio.sleep(0)
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
        for connection in opened:
            connection.close()
        while len(ended) < len(accepted):
            await asyncio.sleep(0)
        server.close()
    return round((after - before) / CONNECTIONS / SIDES, 1)
