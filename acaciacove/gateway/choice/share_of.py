"""Splits a bound that holds over all gateways into whole requests of each."""

from functools import lru_cache

from acaciacove.gateway.choice.stable_hash import mix_bits, stable_hash

# Names whose hash is kept.
MAX_CACHED_NAMES = 4096
HASH_BITS = 64


def share_of(
    total: int, subject_hash: int, gateway: str, gateways: frozenset[str]
) -> int:
    """Return a gateway's part of ``total``; the parts of all add up to just that.

    A hash with the ``subject_hash``, a number of 64 bits, decides who gets those that
    do not split evenly: with many gateways most have none at one endpoint, and some at
    another.
    """
    all_gateways = gateways | {gateway}
    whole, rest = divmod(total, len(all_gateways))
    if not rest:
        return whole
    own = mix_bits(subject_hash ^ name_hash(gateway))
    before = sum(
        mix_bits(subject_hash ^ name_hash(name)) < own for name in all_gateways
    )
    return whole + (before < rest)


def is_drawn(rest: int, count: int, pair: int) -> bool:
    """Tell whether a pair is among the ``rest`` of ``count`` that get one more."""
    return mix_bits(pair) * count < rest << HASH_BITS


@lru_cache(MAX_CACHED_NAMES)
def name_hash(name: str) -> int:
    """Return a number of 64 bits that stands for a gateway's name."""
    return int.from_bytes(stable_hash(name))
