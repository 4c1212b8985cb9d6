"""Encoding of header fields on one platform."""

from collections.abc import Callable, Sequence

from attrs import frozen

from acaciacove.gateway.http.caller_hints import CallerHints
from acaciacove.gateway.http.forward_hints import ForwardHints
from acaciacove.gateway.http.response_head import ResponseHead

RawHeaders = Sequence[tuple[bytes, bytes]]


@frozen
class Dialect:
    """Functions that decode and encode a platform's header fields.

    ``read_hints`` decodes a caller's header fields. ``forward_headers`` builds the
    fields of a forwarded request from the caller's. ``read_response`` decodes a
    response's status, reason and header fields. ``readiness_path`` is the path of
    the load balancer's readiness probe.
    """

    read_hints: Callable[[RawHeaders], CallerHints]
    forward_headers: Callable[[RawHeaders, ForwardHints], list[tuple[bytes, bytes]]]
    read_response: Callable[[int, bytes, RawHeaders], ResponseHead]
    readiness_path: str
