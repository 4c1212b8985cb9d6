"""A complete HTTP request of a caller."""

from attrs import frozen

from acaciacove.gateway.http.caller_hints import CallerHints


@frozen
class CallerRequest:
    """Method, target, header fields and body as the caller sent them.

    ``host`` is the Host field without its port. ``arrived_s`` is when the first byte
    was read, on the event loop's clock.
    """

    method: bytes
    target: bytes
    host: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    hints: CallerHints
    arrived_s: float

    @property
    def path(self) -> str:
        """The path of the target, without the query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")
