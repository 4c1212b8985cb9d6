"""One trial of a request that is suspected of crashing endpoints."""

from attrs import frozen


@frozen
class RequestTrial:
    """The ``number``-th trial; it blocks other trials until ``until_s``.

    ``endpoint`` identifies the incarnation of the endpoint that runs it. Number 0
    means that the suspected request has had no trial yet. ``claim`` is a random number
    drawn by the gateway that runs the trial.
    """

    number: int = 0
    endpoint: int = 0
    claim: int = 0
    until_s: float = float("-inf")
