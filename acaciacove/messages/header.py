"""One HTTP header."""

from attrs import frozen


@frozen
class Header:
    """One HTTP header."""

    name: str
    value: str
