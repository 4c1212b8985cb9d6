"""Splits a bound that holds over all gateways into whole requests of each."""

from functools import lru_cache

from acaciacove.gateway.choice.stable_hash import mixed, stable_hash

# Names whose hash is kept.
MAX_NAMES = 4096
DRAW_BITS = 64


def share_of(total: int, subject: int, gateway: str, gateways: frozenset[str]) -> int:
    """Return a gateway's part of ``total``; the parts of all add up to just that.

    A hash with the ``subject``, a number of 64 bits, decides who gets those that do
    not split evenly: with many gateways most have none at one endpoint, and some at
    another.
    """
    everyone = gateways | {gateway}
    whole, rest = divmod(total, len(everyone))
    if not rest:
        return whole
    own = mixed(subject ^ name_number(gateway))
    before = sum(mixed(subject ^ name_number(name)) < own for name in everyone)
    return whole + (before < rest)


def draws(rest: int, count: int, pair: int) -> bool:
    """Tell whether a pair is among the ``rest`` of ``count`` that get one more."""
    return mixed(pair) * count < rest << DRAW_BITS


@lru_cache(MAX_NAMES)
def name_number(name: str) -> int:
    """Return a number of 64 bits that stands for a gateway's name."""
    return int.from_bytes(stable_hash(name))
