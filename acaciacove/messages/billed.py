"""Requests whose billing record is known to be in the log."""

from attrs import frozen


@frozen
class Billed:
    """Requests whose billing record is known to be in the log."""

    request_ids: tuple[str, ...] = ()
