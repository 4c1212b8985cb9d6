"""How many endpoints of each version could serve now."""

from attrs import frozen


@frozen
class VersionCapacity:
    """Endpoints that are neither leaving nor out with their zone, by version."""

    target: int
    old: int
