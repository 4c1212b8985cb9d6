"""Shared counters as messages carry them, and back."""

from collections.abc import Iterable

from acaciacove.decisions.shared_cell import SharedCell
from acaciacove.messages.evidence_cell import EvidenceCell


def to_message_cells(cells: Iterable[SharedCell]) -> tuple[EvidenceCell, ...]:
    """Write counters for a message."""
    return tuple(
        EvidenceCell(c.origin, c.name, c.count, c.total, c.squares) for c in cells
    )


def from_message_cells(cells: Iterable[EvidenceCell]) -> tuple[SharedCell, ...]:
    """Read counters from a message."""
    return tuple(
        SharedCell(c.origin, c.name, c.count, c.total, c.squares) for c in cells
    )
