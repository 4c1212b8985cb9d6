"""A suspected request that somebody else tries by now."""

from acaciacove.errors import AcaciacoveError


class TrialTakenError(AcaciacoveError):
    """The one try of a request was taken while a connection for it was made."""
