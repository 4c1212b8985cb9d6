"""One counter of one origin, as exchanged between entries."""

from attrs import frozen

CellName = tuple[str, ...]


@frozen
class SharedCell:
    """Totals that only ``origin`` adds to and that only grow.

    Of two copies of a cell the one with the larger ``count`` is the newer.
    """

    origin: str
    name: CellName
    count: float
    total: float = 0.0
    squares: float = 0.0
