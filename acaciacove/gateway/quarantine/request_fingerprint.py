"""A number for what a request asks, the same for each time that it is sent."""

from hashlib import blake2b

from acaciacove.gateway.http.caller_request import CallerRequest

FINGERPRINT_BYTES = 8


def request_fingerprint(request: CallerRequest, organisation: str) -> int:
    """Return 64 bits of method, target, body and caller.

    Header fields are left out: each time a request is sent it bears another id and
    another deadline.
    """
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (request.method, request.target, organisation.encode(), request.body):
        digest.update(len(part).to_bytes(FINGERPRINT_BYTES))
        digest.update(part)
    return int.from_bytes(digest.digest())


def format_fingerprint(fingerprint: int) -> str:
    """Return a fingerprint as log lines and records spell it."""
    return f"{fingerprint:0{2 * FINGERPRINT_BYTES}x}"
