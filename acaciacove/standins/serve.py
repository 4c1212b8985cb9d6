"""Serves stand-ins in the running event loop."""

import asyncio
import socket
from collections.abc import AsyncIterator, Iterator, Sequence
from contextlib import asynccontextmanager, contextmanager

from starlette.applications import Starlette
from uvicorn import Config, Server

from acaciacove.standins.dropping_protocol import DroppingProtocol

LOOPBACK = "127.0.0.1"
ANY_PORT = 0
BACKLOG = 2048
START_POLL_S = 0.005
KEEP_ALIVE_S = 75
SHUTDOWN_TIMEOUT_S = 1


class _ServerWithoutSignals(Server):
    """A server that does not install signal handlers."""

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture no signals: the embedding program deals with them."""
        yield


@asynccontextmanager
async def serve(
    app: Starlette, host: str = LOOPBACK, port: int = ANY_PORT
) -> AsyncIterator[int]:
    """Serve an application in the current event loop and yield its port."""
    async with serve_all([app], host, [port]) as ports:
        yield ports[0]


@asynccontextmanager
async def serve_all(
    apps: Sequence[Starlette],
    host: str = LOOPBACK,
    ports: Sequence[int] | None = None,
) -> AsyncIterator[list[int]]:
    """Serve several applications, started and stopped together; yield their ports."""
    listeners = [_listen(host, port) for port in ports or [ANY_PORT] * len(apps)]
    servers = [_ServerWithoutSignals(_config(app)) for app in apps]
    running = [
        asyncio.create_task(server.serve(sockets=[listener]))
        for server, listener in zip(servers, listeners, strict=True)
    ]
    try:
        await _until_started(servers, running)
        yield [listener.getsockname()[1] for listener in listeners]
    finally:
        for server in servers:
            server.should_exit = True
        await asyncio.gather(*running)


def _listen(host: str, port: int) -> socket.socket:
    """Open the listening socket before the server starts, to learn its port.

    The protocol is set explicitly because asyncio sets TCP_NODELAY only on such
    sockets. With Nagle's algorithm small writes wait 40 ms for an acknowledgement.
    """
    listener = socket.socket(
        socket.AF_INET, socket.SOCK_STREAM, proto=socket.IPPROTO_TCP
    )
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener


def _config(app: Starlette) -> Config:
    return Config(
        app,
        http=DroppingProtocol,
        ws="none",
        lifespan="off",
        log_config=None,
        log_level="critical",
        access_log=False,
        timeout_keep_alive=KEEP_ALIVE_S,
        timeout_graceful_shutdown=SHUTDOWN_TIMEOUT_S,
    )


async def _until_started(
    servers: Sequence[Server], running: Sequence[asyncio.Task[None]]
) -> None:
    while not all(server.started for server in servers):
        for task in running:
            if task.done():
                task.result()
        await asyncio.sleep(START_POLL_S)
