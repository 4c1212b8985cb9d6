"""A hash that is the same in every process."""

from hashlib import blake2b

SIZE_BYTES = 8
NUMBER_BYTES = 4


def stable_hash(text: str) -> bytes:
    """Return eight bytes that depend on the text alone, to rank or draw by."""
    return blake2b(text.encode(), digest_size=SIZE_BYTES).digest()


def stable_number(text: str) -> int:
    """Return a number of 32 bits that stands for a text in messages."""
    return int.from_bytes(blake2b(text.encode(), digest_size=NUMBER_BYTES).digest())


def part_key(model: str | None, part: str) -> int:
    """Return the number of a prompt's part as one model reads it."""
    return stable_number(f"{model}/{part}")
