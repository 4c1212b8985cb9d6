"""Pool of keep-alive connections to one endpoint."""

import asyncio
from collections import deque
from collections.abc import Collection

from acaciacove.gateway.http.endpoint_connection import EndpointConnection, connect

# Assumed idle timeout of an endpoint that announces none.
DEFAULT_IDLE_TIMEOUT_S = 2.0
# A connection is reused until it has been idle for this share of the idle timeout.
# The endpoint may close it just as a request is sent. An idempotent request is then
# retried. The outcome of a non-idempotent one would be unknown, so it needs a larger
# margin.
REUSE_SHARE = 0.8
REUSE_SHARE_NON_IDEMPOTENT = 0.4


class ConnectionPool:
    """Idle connections to one incarnation of an endpoint, most recently used first."""

    def __init__(self, host: str, port: int) -> None:
        """Start without connections."""
        self._host = host
        self._port = port
        self._idle: deque[EndpointConnection] = deque()
        self.open_count = 0
        self.handshakes = 0

    async def acquire(
        self,
        non_idempotent: bool,
        timeout_s: float,
        avoided: Collection[EndpointConnection] = (),
    ) -> EndpointConnection:
        """Return an idle or a new connection; raises ConnectFailedError.

        Those ``avoided`` have carried the same request before. A second copy of the
        answer to that send has the same id as the answer to the next one.
        """
        share = REUSE_SHARE_NON_IDEMPOTENT if non_idempotent else REUSE_SHARE
        idle = self._pop_idle(share, avoided)
        if idle is not None:
            return idle
        self.open_count += 1
        self.handshakes += 1
        try:
            return await connect(self._host, self._port, timeout_s)
        except BaseException:
            self.open_count -= 1
            raise

    async def check_connect(self, timeout_s: float) -> None:
        """Open a connection and abort it; raises ConnectFailedError."""
        self.handshakes += 1
        connection = await connect(self._host, self._port, timeout_s)
        connection.abort()

    def _pop_idle(
        self, share: float, avoided: Collection[EndpointConnection]
    ) -> EndpointConnection | None:
        now_s = asyncio.get_running_loop().time()
        passed_over: list[EndpointConnection] = []
        found = None
        while self._idle and found is None:
            connection = self._idle.pop()
            limit_s = connection.idle_timeout_s or DEFAULT_IDLE_TIMEOUT_S
            if connection in avoided:
                passed_over.append(connection)
            elif (
                connection.is_open and now_s - connection.idle_since_s < share * limit_s
            ):
                found = connection
            else:
                self._discard(connection)
        self._idle.extend(reversed(passed_over))
        return found

    def release(self, connection: EndpointConnection, reusable: bool) -> None:
        """Return a connection to the pool if it is reusable, else close it."""
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
        """Discard idle connections that are closed or past their idle timeout."""
        now_s = asyncio.get_running_loop().time()
        retained: deque[EndpointConnection] = deque()
        for connection in self._idle:
            limit_s = connection.idle_timeout_s or DEFAULT_IDLE_TIMEOUT_S
            if connection.is_open and now_s - connection.idle_since_s < limit_s:
                retained.append(connection)
            else:
                self._discard(connection)
        self._idle = retained

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._discard(self._idle.pop())
