"""The first message each way on a connection between processes."""

from attrs import frozen


@frozen
class Hello:
    """The first message each way on a connection between processes."""

    instance: str
    incarnation: int
    role: str
    availability_zone: str
    revision: int
    wire_version: int = 1
