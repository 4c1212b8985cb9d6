"""Numbers of endpoints of each version that can serve now."""

from attrs import frozen


@frozen
class VersionCapacity:
    """Endpoints of each version that are not draining and whose zone is not out."""

    target: int
    old: int
