"""One record of the platform's log, told by a gateway."""

from attrs import frozen


@frozen
class ToldRecord:
    """The record of ``key`` at ``offset``; ``removed`` means that it has no value."""

    key: str
    value: bytes
    offset: int
    removed: bool
