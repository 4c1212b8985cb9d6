"""One record of the release stream with its offset."""

from attrs import frozen


@frozen
class Record:
    """One record of the release stream with its offset."""

    offset: int
    payload: bytes
