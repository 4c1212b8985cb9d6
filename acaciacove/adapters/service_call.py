"""One request to a plain service."""

from attrs import frozen

from acaciacove.messages.header import Header


@frozen
class ServiceCall:
    """A call; unless ``may_repeat``, it is sent once, on a new connection.

    With ``echo_wanted`` the answer must carry the request id in ``X-Request-Id``.
    """

    request_id: str
    method: str
    path: str
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    may_repeat: bool = False
    echo_wanted: bool = True
    timeout_s: float = 30.0
