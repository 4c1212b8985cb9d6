"""A request for records of the release stream from an offset on."""

from attrs import frozen


@frozen
class Pull:
    """A request for records of the release stream from an offset on."""

    from_offset: int
    limit: int = 256
