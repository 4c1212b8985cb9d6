"""One calling organisation."""

from attrs import frozen


@frozen
class Organisation:
    """A calling organisation; its ``priority``, if given, overrides the route's."""

    name: str
    priority: int | None = None
    allowed_regions: frozenset[str] = frozenset()
