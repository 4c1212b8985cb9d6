"""Refuses request heads that are ambiguous or too large."""

import h11

from acaciacove.gateway.catalogue.caller_limits import CallerLimits
from acaciacove.gateway.http.errors import BadRequestError
from acaciacove.gateway.http.read_body import (
    BAD_REQUEST_STATUS,
    BODY_TOO_LARGE_STATUS,
)

HEADER_TOO_LARGE_STATUS = 431
# Bytes of a header line in addition to name and value: ": " and CRLF.
LINE_OVERHEAD_BYTES = 4


def refuse_ambiguous_framing(head: h11.Request) -> None:
    """Refuse a request whose length, target or host is ambiguous.

    If two programs on the path disagree on where a body ends, a second request can
    be smuggled inside the first and bypass the check of its API key.
    """
    names = [bytes(name) for name, _ in head.headers]
    if b"content-length" in names and b"transfer-encoding" in names:
        raise BadRequestError(BAD_REQUEST_STATUS, "two lengths")
    if not bytes(head.target).startswith(b"/") and bytes(head.target) != b"*":
        raise BadRequestError(BAD_REQUEST_STATUS, "the target is no path")
    if names.count(b"host") > 1:
        raise BadRequestError(BAD_REQUEST_STATUS, "two hosts")


def refuse_too_large(head: h11.Request, limits: CallerLimits) -> None:
    """Refuse a head over its limit, and a declared body length over its own limit.

    h11 enforces its limit only on heads that are not complete yet.
    """
    fields_bytes = sum(
        len(name) + len(value) + LINE_OVERHEAD_BYTES for name, value in head.headers
    )
    if len(head.target) + fields_bytes > limits.max_header_bytes:
        raise BadRequestError(HEADER_TOO_LARGE_STATUS, "head too large")
    declared = dict(head.headers).get(b"content-length", b"0")
    if int(declared) > limits.max_body_bytes:
        raise BadRequestError(BODY_TOO_LARGE_STATUS, "body too large")
