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
    own = mixed(subject ^ _number(gateway))
    before = sum(mixed(subject ^ _number(name)) < own for name in everyone)
    return whole + (before < rest)


def rough_share_of(total: int, subject: int, gateway: str, count: int) -> int:
    """Return about a gateway's part of ``total``, without looking at the others.

    The parts of ``count`` gateways add up to ``total`` in the mean only, at a cost that
    does not grow with them.
    """
    whole, rest = divmod(total, count)
    draw = mixed(subject ^ _number(gateway))
    return whole + (draw * count < rest << DRAW_BITS)


@lru_cache(MAX_NAMES)
def _number(name: str) -> int:
    return int.from_bytes(stable_hash(name))
