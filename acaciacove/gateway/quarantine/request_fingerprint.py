"""Fingerprint of a request that is equal each time the request is sent."""

from hashlib import blake2b

from acaciacove.gateway.http.caller_request import CallerRequest

FINGERPRINT_BYTES = 8


def request_fingerprint(request: CallerRequest, organisation: str) -> int:
    """Return a 64-bit hash of method, target, organisation and body.

    Header fields are excluded, as the request id and the deadline differ each time
    the request is sent.
    """
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (request.method, request.target, organisation.encode(), request.body):
        digest.update(len(part).to_bytes(FINGERPRINT_BYTES))
        digest.update(part)
    return int.from_bytes(digest.digest())


def format_fingerprint(fingerprint: int) -> str:
    """Return the hexadecimal form that log lines and records use."""
    return f"{fingerprint:0{2 * FINGERPRINT_BYTES}x}"
