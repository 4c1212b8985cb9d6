"""Whether the requests of a route may run more than once."""

from enum import Enum


class Repetition(Enum):
    """How often a request may run.

    ``REPEATABLE`` requests may run again, ``ONCE`` requests may not. A ``STREAMING``
    request runs at most once unless its route allows streams to be resumed. Kinds that
    this release does not know count as ``ONCE``.
    """

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAMING = "streaming"
