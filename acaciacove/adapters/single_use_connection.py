"""Connections for calls that may not be repeated."""

from acaciacove.adapters.http_connection import SafeConnection


class SingleUseConnection(SafeConnection):
    """A connection that carries one request and is closed after it.

    The library sends a PUT or DELETE again when a reused connection is lost, and
    then a booking runs twice. On a connection that was never used before it does
    not, so this one is never kept.
    """

    def keep_alive(self) -> None:
        """Ignore the server's offer to keep the connection."""
