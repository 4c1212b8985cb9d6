"""Splits a bound that holds over all gateways into whole requests of each."""

from acaciacove.gateway.choice.stable_hash import stable_hash


def share_of(total: int, subject: str, gateway: str, gateways: frozenset[str]) -> int:
    """Return a gateway's part of ``total``; the parts of all add up to just that.

    A hash of the ``subject`` decides who gets those that do not split evenly: with
    many gateways most have none at one endpoint, and some at another.
    """
    everyone = gateways | {gateway}
    whole, rest = divmod(total, len(everyone))
    if not rest:
        return whole
    own = stable_hash(f"{subject}/{gateway}")
    before = sum(stable_hash(f"{subject}/{name}") < own for name in everyone)
    return whole + (before < rest)
