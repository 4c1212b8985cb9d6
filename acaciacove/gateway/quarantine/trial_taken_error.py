"""Raised when the trial of a suspected request is already taken."""

from acaciacove.errors import AcaciacoveError


class TrialTakenError(AcaciacoveError):
    """Another claim won the trial of a request while its connection was opened."""
