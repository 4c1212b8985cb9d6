"""Exceptions of HTTP connections."""

from acaciacove.errors import AcaciacoveError


class ConnectionLostError(AcaciacoveError):
    """A connection ended or broke before the exchange on it was complete."""


class ConnectFailedError(AcaciacoveError):
    """A connection could not be made; nothing was sent."""


class ConnectRefusedError(ConnectFailedError):
    """The machine answers, and nothing listens there."""


class InvalidResponseError(AcaciacoveError):
    """An endpoint sent bytes that are no answer to the request."""


class BadRequestError(AcaciacoveError):
    """A caller sent bytes that are no acceptable request."""

    def __init__(self, status: int, detail: str) -> None:
        """Keep the status to answer with."""
        super().__init__(detail)
        self.status = status


class CallerDisconnectedError(AcaciacoveError):
    """The caller closed its connection before its answer was complete."""
