"""A measurement that could not be made."""

from acaciacove.errors import AcaciacoveError


class BenchError(AcaciacoveError):
    """A process of a measurement did not start, or ended early."""
