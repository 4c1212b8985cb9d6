"""Hashes that are the same in every process."""

from hashlib import blake2b

SIZE_BYTES = 8
HASH32_BYTES = 4
MASK = 2**64 - 1
# Odd 64-bit multipliers with irregular bit patterns.
MIX_FIRST = 0x9E3779B97F4A7C15
MIX_SECOND = 0xD6E8FEB86659FD93


def stable_hash(text: str) -> bytes:
    """Return an eight-byte hash of a text, for ranking or drawing."""
    return blake2b(text.encode(), digest_size=SIZE_BYTES).digest()


def stable_hash32(text: str) -> int:
    """Return a 32-bit hash of a text, used as an id in messages."""
    return int.from_bytes(blake2b(text.encode(), digest_size=HASH32_BYTES).digest())


def mix_bits(number: int) -> int:
    """Return a 64-bit number in which each bit of ``number`` flips half of the bits.

    Far cheaper than a cryptographic hash, for ranking what has been hashed before.
    """
    number = number * MIX_FIRST & MASK
    number = (number ^ number >> 32) * MIX_SECOND & MASK
    return number ^ number >> 32


def part_key(model: str | None, part: str) -> int:
    """Return the key of a prompt part as processed by one model."""
    return stable_hash32(f"{model}/{part}")
