"""Rendezvous hashing: processes agree on partition owners without messages."""

from collections.abc import Iterable
from hashlib import blake2b

CLAIM_PARTITIONS = 64


def partition_of(key: str, partitions: int = CLAIM_PARTITIONS) -> int:
    """Return the partition of a claim key."""
    return _hash(key) % partitions


def rank_owners(partition: int, names: Iterable[str]) -> list[str]:
    """Order instances by their weight for a partition, the preferred owner first.

    When an instance joins or leaves, only the partitions that it owns change owners.
    """
    return sorted(names, key=lambda name: (-_hash(f"{partition}/{name}"), name))


def preferred_owner(partition: int, names: Iterable[str]) -> str | None:
    """Return the first of ``rank_owners``; None when there are no instances."""
    best = max(names, key=lambda name: (_hash(f"{partition}/{name}"), name), default="")
    return best or None


def _hash(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest())
