"""Keys under which crashes of endpoints are counted.

A key is the fingerprint of one request, or the hash of something that several requests
share, such as a part of their prompts. Keys of shared things have a fixed prefix, so
that every gateway can tell them apart without knowing what they stand for.
"""

KEY_BITS = 64
SHARED_PREFIX_BITS = 16
SHARED_HASH_BITS = KEY_BITS - SHARED_PREFIX_BITS
_SHARED_PREFIX = (1 << SHARED_PREFIX_BITS) - 1


def shared_crash_key(digest: int) -> int:
    """Return the key of something shared, from a hash of it."""
    return _SHARED_PREFIX << SHARED_HASH_BITS | digest & (1 << SHARED_HASH_BITS) - 1


def is_shared(key: int) -> bool:
    """Return whether a key stands for something that several requests share."""
    return key >> SHARED_HASH_BITS == _SHARED_PREFIX
