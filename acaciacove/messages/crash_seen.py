"""Crash of an endpoint as one gateway detected it."""

from attrs import frozen


@frozen
class CrashSeen:
    """Crash of an endpoint.

    ``endpoint`` identifies one incarnation of it. ``suspects`` are the fingerprints
    of the requests that were lost in the crash.
    """

    endpoint: int
    suspects: tuple[int, ...]
