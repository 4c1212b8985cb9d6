"""Exceptions of HTTP connections."""

from acaciacove.errors import AcaciacoveError


class ConnectionLostError(AcaciacoveError):
    """A connection was closed or broken before its exchange was complete."""


class ConnectFailedError(AcaciacoveError):
    """A connection could not be established, so nothing was sent."""


class ConnectRefusedError(ConnectFailedError):
    """The host is reachable but nothing listens on the port."""


class InvalidResponseError(AcaciacoveError):
    """An endpoint sent bytes that are not a valid response to the request."""


class BadRequestError(AcaciacoveError):
    """A caller sent bytes that are not an acceptable request."""

    def __init__(self, status: int, detail: str) -> None:
        """Store the status of the response; ``detail`` is its body."""
        super().__init__(detail)
        self.status = status


class CallerDisconnectedError(AcaciacoveError):
    """The caller closed its connection before its response was complete."""


class BodyOverBudgetError(AcaciacoveError):
    """A request body does not fit into the budget of held bytes."""
