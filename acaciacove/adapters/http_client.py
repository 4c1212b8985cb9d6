"""The HTTP client of all adapters: pooled, bounded and safe to cancel."""

from typing import Any

from aiosonic import HTTPClient
from aiosonic.connectors import TCPConnector
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts

from acaciacove.adapters.http_connection import SafeConnection
from acaciacove.adapters.single_use_connection import SingleUseConnection

CONNECT_TIMEOUT_S = 2.0
MAX_IDLE_MS = 4_000
MAX_REQUESTS_PER_CONNECTION = 10_000


def open_client(
    connections: int = 256,
    reuse: bool = True,
    connection_cls: type[SafeConnection] = SafeConnection,
) -> Any:
    """Open a client with a pool of at most ``connections`` connections.

    Without ``reuse`` every request gets a new connection. When a reused connection
    is lost, the library sends a PUT or DELETE again, and a booking would run twice.
    On a new connection it never does, so non-idempotent calls use such a client.
    Only connecting has a timeout here: callers set a deadline for the complete
    exchange, which includes reading the body.
    """
    config = PoolConfig(
        size=connections,
        max_conn_requests=MAX_REQUESTS_PER_CONNECTION,
        max_conn_idle_ms=MAX_IDLE_MS,
    )
    timeouts = Timeouts(
        sock_connect=CONNECT_TIMEOUT_S, sock_read=None, request_timeout=None
    )
    connector = TCPConnector(
        pool_configs={":default": config},
        timeouts=timeouts,
        connection_cls=connection_cls if reuse else SingleUseConnection,
    )
    return HTTPClient(connector)
