"""Record of the platform's log that a gateway relays to another."""

from attrs import frozen


@frozen
class ToldRecord:
    """Record of ``key`` at ``offset``; ``removed`` means that it has no value."""

    key: str
    value: bytes
    offset: int
    removed: bool
