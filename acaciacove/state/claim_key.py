"""Keys and fingerprints of non-repeatable calls."""

from hashlib import blake2b
from uuid import UUID

DIGEST_BYTES = 16
UUID_LENGTH = 36
UUID7_VERSION = 7
UUID7_TIME_SHIFT_BITS = 80
MS_PER_S = 1000.0


def claim_key(organisation: str, api: str, idempotency_key: str) -> str:
    """Return the key of a claim, which differs between organisations and APIs."""
    return _digest(organisation, api, idempotency_key)


def request_fingerprint(method: str, path: str, body: bytes) -> str:
    """Return a digest that distinguishes a retry from another request with its key."""
    return _digest(method, path, body.hex())


def key_issued_s(idempotency_key: str) -> float | None:
    """Return the creation time of a UUID version 7 (Unix time); None for other keys."""
    if len(idempotency_key) != UUID_LENGTH:
        return None
    try:
        uuid = UUID(idempotency_key)
    except ValueError:
        return None
    if uuid.version != UUID7_VERSION:
        return None
    return (uuid.int >> UUID7_TIME_SHIFT_BITS) / MS_PER_S


def _digest(*parts: str) -> str:
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        data = part.encode("utf-8", "surrogateescape")
        # The length prefixes distinguish ("ab", "c") from ("a", "bc").
        digest.update(len(data).to_bytes(8))
        digest.update(data)
    return digest.hexdigest()
