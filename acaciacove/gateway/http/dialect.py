"""How header fields are spelled on one platform."""

from collections.abc import Callable, Sequence

from attrs import frozen

from acaciacove.gateway.http.caller_hints import CallerHints
from acaciacove.gateway.http.forward_hints import ForwardHints
from acaciacove.gateway.http.response_head import ResponseHead

RawHeaders = Sequence[tuple[bytes, bytes]]


@frozen
class Dialect:
    """Functions that read and write a platform's header fields.

    ``read_hints`` decodes a request; ``forward_headers`` builds those of a
    forwarded request from a caller's; ``read_response`` decodes an answer's
    status, reason and header fields. ``readiness_path`` is where a balancer asks.
    """

    read_hints: Callable[[RawHeaders], CallerHints]
    forward_headers: Callable[[RawHeaders, ForwardHints], list[tuple[bytes, bytes]]]
    read_response: Callable[[int, bytes, RawHeaders], ResponseHead]
    readiness_path: str
