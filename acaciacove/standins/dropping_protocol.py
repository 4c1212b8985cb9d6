"""A server protocol that lets an application drop its connection."""

from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

TRANSPORT = "acaciacove.transport"


class DroppingProtocol(HttpToolsProtocol):
    """Hands the transport to the application in its scope.

    The usual interface between server and application has no way to close a
    connection without an answer, and that is the failure to be played.
    """

    def on_message_begin(self) -> None:
        """Add the transport to the scope of the next request."""
        super().on_message_begin()
        scope: Any = self.scope
        scope[TRANSPORT] = self.transport
