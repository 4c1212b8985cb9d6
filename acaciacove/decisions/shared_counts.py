"""Counters that entries share at constant cost: per origin, and only growing."""

from attrs import define, field

from acaciacove.decisions.shared_cell import CellName, SharedCell
from acaciacove.decisions.tally import Tally

DEFAULT_EXPORT_LIMIT = 32


@define
class SharedCounts:
    """Sums over the scores that every origin has counted, own ones included.

    A message may be lost, doubled or overtaken: a cell is the origin's whole total,
    so a merge keeps the larger count and adds nothing twice. ``export_delta`` sends
    at most ``limit`` cells, changed ones first and in turn, so an exchange costs
    the same at any fleet size; a lost message is made good because unchanged
    cells follow when nothing new is waiting.
    """

    origin: str
    _cells: dict[tuple[str, CellName], SharedCell] = field(factory=dict)
    _totals: dict[CellName, Tally] = field(factory=dict)
    _changed: dict[tuple[str, CellName], None] = field(factory=dict)
    _unsent_in_round: list[tuple[str, CellName]] = field(factory=list)

    def add(self, name: CellName, score: float = 0.0, count: float = 1.0) -> None:
        """Count ``count`` scores of the same value."""
        key = (self.origin, name)
        old = self._cells.get(key) or SharedCell(self.origin, name, 0.0)
        added = SharedCell(
            self.origin,
            name,
            old.count + count,
            old.total + score * count,
            old.squares + score * score * count,
        )
        self._store(added)

    def tally(self, name: CellName) -> Tally:
        """Return the sum over all origins."""
        return self._totals.get(name, Tally())

    def export_delta(self, limit: int = DEFAULT_EXPORT_LIMIT) -> tuple[SharedCell, ...]:
        """Take up to ``limit`` cells to send to a peer."""
        keys = list(self._changed)[:limit]
        for key in keys:
            del self._changed[key]
        if len(keys) < limit and not self._unsent_in_round:
            self._unsent_in_round = list(self._cells)
        while len(keys) < limit and self._unsent_in_round:
            keys.append(self._unsent_in_round.pop())
        return tuple(self._cells[key] for key in keys if key in self._cells)

    def merge(self, cells: tuple[SharedCell, ...]) -> list[tuple[CellName, float]]:
        """Take in a peer's cells; returns by how much each name's count grew.

        Own cells come back only after a restart.
        """
        grown: list[tuple[CellName, float]] = []
        for cell in cells:
            known = self._cells.get((cell.origin, cell.name))
            before = known.count if known else 0.0
            if cell.count > before:
                self._store(cell)
                grown.append((cell.name, cell.count - before))
        return grown

    def remove(self, names: set[CellName]) -> None:
        """Drop cells of withdrawn versions or past epochs."""
        for key in [key for key in self._cells if key[1] in names]:
            del self._cells[key]
            self._changed.pop(key, None)
        for name in names:
            self._totals.pop(name, None)

    def names(self) -> tuple[CellName, ...]:
        """List the cells that any origin has counted in."""
        return tuple(self._totals)

    def _store(self, cell: SharedCell) -> None:
        key = (cell.origin, cell.name)
        old = self._cells.get(key) or SharedCell(cell.origin, cell.name, 0.0)
        total = self._totals.get(cell.name, Tally())
        self._totals[cell.name] = total.plus(
            cell.count - old.count,
            cell.total - old.total,
            cell.squares - old.squares,
        )
        self._cells[key] = cell
        self._changed[key] = None
