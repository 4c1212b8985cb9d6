"""Handshake message of a connection between processes."""

from attrs import frozen


@frozen
class Hello:
    """First message in each direction on a connection between processes."""

    instance: str
    incarnation: int
    role: str
    availability_zone: str
    revision: int
    wire_version: int = 1
