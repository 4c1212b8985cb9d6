"""Splits a limit that holds for all gateways into whole requests per gateway."""

from functools import lru_cache

from acaciacove.gateway.choice.stable_hash import mixed, stable_hash

# Bound on cached name hashes.
MAX_NAMES = 4096
DRAW_BITS = 64


def share_of(total: int, subject: int, gateway: str, gateways: frozenset[str]) -> int:
    """Return a gateway's share of ``total``; all shares add up to exactly ``total``.

    A hash with ``subject_hash``, a 64-bit number, decides which gateways get the
    remainder. With many gateways, each has a share at some endpoints and none at most
    others.
    """
    everyone = gateways | {gateway}
    whole, rest = divmod(total, len(everyone))
    if not rest:
        return whole
    own = mixed(subject ^ name_number(gateway))
    before = sum(mixed(subject ^ name_number(name)) < own for name in everyone)
    return whole + (before < rest)


def draws(rest: int, count: int, pair: int) -> bool:
    """Return whether a pair is among the ``rest`` of ``count`` that get one more."""
    return mixed(pair) * count < rest << DRAW_BITS


@lru_cache(MAX_NAMES)
def name_number(name: str) -> int:
    """Return a 64-bit hash of a gateway's name."""
    return int.from_bytes(stable_hash(name))
