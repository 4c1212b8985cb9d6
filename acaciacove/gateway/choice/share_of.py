"""Splits a limit that holds for all gateways into whole requests per gateway."""

from functools import lru_cache

from acaciacove.gateway.choice.stable_hash import mix_bits, stable_hash

# Bound on cached name hashes.
MAX_CACHED_NAMES = 4096
HASH_BITS = 64


def share_of(
    total: int, subject_hash: int, gateway: str, gateways: frozenset[str]
) -> int:
    """Return a gateway's share of ``total``; all shares add up to exactly ``total``.

    The hash of a gateway's name, combined with the 64-bit ``subject_hash``, decides
    which gateways get the remainder. With many gateways, each has a share at some
    endpoints and none at most others.
    """
    all_gateways = gateways | {gateway}
    share, remainder = divmod(total, len(all_gateways))
    if not remainder:
        return share
    local_hash = mix_bits(subject_hash ^ name_hash(gateway))
    rank = sum(
        mix_bits(subject_hash ^ name_hash(name)) < local_hash for name in all_gateways
    )
    return share + (rank < remainder)


def is_drawn(remainder: int, count: int, pair: int) -> bool:
    """Return whether a pair is among the ``remainder`` of ``count`` with one more."""
    return mix_bits(pair) * count < remainder << HASH_BITS


@lru_cache(MAX_CACHED_NAMES)
def name_hash(name: str) -> int:
    """Return a 64-bit hash of a gateway's name."""
    return int.from_bytes(stable_hash(name))
