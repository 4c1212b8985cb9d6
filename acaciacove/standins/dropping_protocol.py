"""A server protocol that lets an application abort its connection."""

from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

TRANSPORT = "acaciacove.transport"


class DroppingProtocol(HttpToolsProtocol):
    """Passes the transport to the application in the ASGI scope.

    ASGI has no way to close a connection without a response, which is the failure
    to simulate.
    """

    def on_message_begin(self) -> None:
        """Add the transport to the scope of the next request."""
        super().on_message_begin()
        scope: Any = self.scope
        scope[TRANSPORT] = self.transport
