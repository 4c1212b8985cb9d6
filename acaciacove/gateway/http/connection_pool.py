"""Kept connections to one endpoint."""

import asyncio
from collections import deque

from acaciacove.gateway.http.endpoint_connection import EndpointConnection, connect

# An endpoint that says no idle timeout is taken to keep connections this long.
DEFAULT_IDLE_TIMEOUT_S = 2.0
# Shares of the idle timeout up to which a connection is used again. The
# endpoint's close may cross a request: one that may be repeated is then sent
# again, one that may run once only ends as unknown, so it needs more margin.
REUSE_SHARE = 0.8
REUSE_SHARE_NON_IDEMPOTENT = 0.4


class ConnectionPool:
    """Idle connections to one life of an endpoint, the latest used first."""

    def __init__(self, host: str, port: int) -> None:
        """Begin without connections."""
        self._host = host
        self._port = port
        self._idle: deque[EndpointConnection] = deque()
        self.open_count = 0
        self.handshakes = 0

    async def acquire(
        self, non_idempotent: bool, timeout_s: float
    ) -> EndpointConnection:
        """Return a connection; raises ConnectFailedError when none can be made."""
        kept = self._pop_idle(
            REUSE_SHARE_NON_IDEMPOTENT if non_idempotent else REUSE_SHARE
        )
        if kept is not None:
            return kept
        self.open_count += 1
        self.handshakes += 1
        try:
            return await connect(self._host, self._port, timeout_s)
        except BaseException:
            self.open_count -= 1
            raise

    async def check_connect(self, timeout_s: float) -> None:
        """Make a connection and end it; raises ConnectFailedError when none is made."""
        self.handshakes += 1
        connection = await connect(self._host, self._port, timeout_s)
        connection.abort()

    def _pop_idle(self, share: float) -> EndpointConnection | None:
        now_s = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            limit_s = connection.idle_timeout_s or DEFAULT_IDLE_TIMEOUT_S
            if connection.is_open and now_s - connection.idle_since_s < share * limit_s:
                return connection
            self._discard(connection)
        return None

    def release(self, connection: EndpointConnection, reusable: bool) -> None:
        """Keep a connection whose exchange is complete, or end it."""
        if reusable and connection.finish_exchange():
            connection.idle_since_s = asyncio.get_running_loop().time()
            self._idle.append(connection)
            return
        self._discard(connection)

    def _discard(self, connection: EndpointConnection) -> None:
        connection.busy = False
        connection.abort()
        self.open_count -= 1

    def close_expired(self) -> None:
        """End connections that are closed or have been idle for too long."""
        now_s = asyncio.get_running_loop().time()
        kept: deque[EndpointConnection] = deque()
        for connection in self._idle:
            limit_s = connection.idle_timeout_s or DEFAULT_IDLE_TIMEOUT_S
            if connection.is_open and now_s - connection.idle_since_s < limit_s:
                kept.append(connection)
            else:
                self._discard(connection)
        self._idle = kept

    def close(self) -> None:
        """End every idle connection."""
        while self._idle:
            self._discard(self._idle.pop())
