"""A uvicorn server for a daemon with its own signal handling."""

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import AbstractContextManager, asynccontextmanager, nullcontext
from typing import Any

from uvicorn import Config, Server

BACKLOG = 2048
KEEP_ALIVE_TIMEOUT_S = 75


class _ServerWithoutSignals(Server):
    """Installs no signal handlers: the daemon drains before it stops the server."""

    def capture_signals(self) -> AbstractContextManager[None]:  # type: ignore[override]
        return nullcontext()


@asynccontextmanager
async def http_server(
    app: Any, host: str, port: int, max_header_bytes: int = 16_384
) -> AsyncIterator[int]:
    """Serve an application while the block runs; yields the bound port.

    Port 0 binds a free port. Raises OSError when the address is in use. At the end
    of the block, responses that have started are completed first.
    """
    listener = _listen(host, port)
    config = Config(
        app,
        log_level="warning",
        access_log=False,
        lifespan="off",
        loop="asyncio",
        http="httptools",
        ws="none",
        server_header=False,
        proxy_headers=False,
        timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
        h11_max_incomplete_event_size=max_header_bytes,
    )
    server = _ServerWithoutSignals(config)
    server_task = asyncio.create_task(server.serve(sockets=[listener]))
    try:
        yield listener.getsockname()[1]
    finally:
        server.should_exit = True
        await server_task
        listener.close()


def _listen(host: str, port: int) -> socket.socket:
    """Open the listening socket with an explicit TCP protocol number.

    asyncio disables Nagle's algorithm only for sockets with that protocol number.
    With the algorithm on, the body of an answer waits 40 ms for the acknowledgement
    of its head.
    """
    listener = socket.socket(
        socket.AF_INET, socket.SOCK_STREAM, proto=socket.IPPROTO_TCP
    )
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener
