"""One try of a request that is suspected of crashing endpoints."""

from attrs import frozen


@frozen
class RequestTrial:
    """The ``number``-th try; others wait for its end until ``until_s``.

    ``endpoint`` stands for the life of an endpoint that got it. Number 0 means that
    nobody has tried the suspected request yet. ``claim`` is drawn by whoever tries it.
    """

    number: int = 0
    endpoint: int = 0
    claim: int = 0
    until_s: float = float("-inf")
