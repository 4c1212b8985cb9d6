"""Conversion of shared counters to and from their message form."""

from collections.abc import Iterable

from acaciacove.decisions.shared_cell import SharedCell
from acaciacove.messages.evidence_cell import EvidenceCell


def to_message_cells(cells: Iterable[SharedCell]) -> tuple[EvidenceCell, ...]:
    """Convert counters to their message form."""
    return tuple(
        EvidenceCell(c.origin, c.name, c.count, c.total, c.squares) for c in cells
    )


def from_message_cells(cells: Iterable[EvidenceCell]) -> tuple[SharedCell, ...]:
    """Convert counters from their message form."""
    return tuple(
        SharedCell(c.origin, c.name, c.count, c.total, c.squares) for c in cells
    )
