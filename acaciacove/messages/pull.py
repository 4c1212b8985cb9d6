"""Message that requests records of the release stream."""

from attrs import frozen


@frozen
class Pull:
    """Requests up to ``limit`` records of the release stream from an offset on."""

    from_offset: int
    limit: int = 256
