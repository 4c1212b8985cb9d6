"""Connections for non-idempotent calls."""

from acaciacove.adapters.http_connection import SafeConnection


class SingleUseConnection(SafeConnection):
    """A connection that carries one request and is closed after it.

    When a reused connection is lost, the library sends a PUT or DELETE again, and a
    booking would run twice. It does not do so on a connection that was never used
    before, so this class never keeps a connection alive.
    """

    def keep_alive(self) -> None:
        """Ignore the server's keep-alive header."""
