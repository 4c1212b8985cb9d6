"""One counter of one origin, as entries exchange it."""

from attrs import frozen

CellName = tuple[str, ...]


@frozen
class SharedCell:
    """Totals that ``origin`` alone adds to and that only grow.

    ``count`` orders two copies of a cell: the larger one is the newer.
    """

    origin: str
    name: CellName
    count: float
    total: float = 0.0
    squares: float = 0.0
