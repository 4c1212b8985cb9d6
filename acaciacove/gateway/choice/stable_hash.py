"""A hash that is the same in every process."""

from hashlib import blake2b

SIZE_BYTES = 8
HASH32_BYTES = 4
MASK = 2**64 - 1
# Odd multipliers of 64 bits without a pattern in their bits.
MIX_FIRST = 0x9E3779B97F4A7C15
MIX_SECOND = 0xD6E8FEB86659FD93


def stable_hash(text: str) -> bytes:
    """Return eight bytes that depend on the text alone, to rank or draw by."""
    return blake2b(text.encode(), digest_size=SIZE_BYTES).digest()


def stable_hash32(text: str) -> int:
    """Return a number of 32 bits that stands for a text in messages."""
    return int.from_bytes(blake2b(text.encode(), digest_size=HASH32_BYTES).digest())


def mix_bits(number: int) -> int:
    """Return a number of 64 bits in which each bit of ``number`` changes half of them.

    Far cheaper than a hash, for ranking what has been hashed before.
    """
    number = number * MIX_FIRST & MASK
    number = (number ^ number >> 32) * MIX_SECOND & MASK
    return number ^ number >> 32


def part_key(model: str | None, part: str) -> int:
    """Return the number of a prompt's part as one model reads it."""
    return stable_hash32(f"{model}/{part}")
