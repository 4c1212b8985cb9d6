"""Tells how the end of an HTTP response is marked."""

import h11

BODYLESS_STATUSES = frozenset({204, 304})
FRAMING_FIELDS = frozenset({b"content-length", b"transfer-encoding"})


def is_close_delimited(method: bytes, response: h11.Response) -> bool:
    """Return whether only the end of the connection marks the end of the body.

    This is the last case of RFC 9112, section 6.3: the body has neither a length nor
    chunks. A body that was cut off then looks like a complete one.
    """
    if method == b"HEAD" or response.status_code in BODYLESS_STATUSES:
        return False
    return not any(bytes(name) in FRAMING_FIELDS for name, _ in response.headers)
