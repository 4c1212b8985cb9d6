"""What is known of the new and the old version of a service at one moment."""

from collections.abc import Mapping

from attrs import frozen

from acaciacove.gateway.rollout.cell_counts import CellCounts

Cells = Mapping[str, CellCounts]


@frozen
class Evidence:
    """Counts of both versions, summed over gateways.

    ``target`` and ``old`` are keyed by kind of request (route and model),
    ``target_endpoints`` by endpoint of the new version, of which
    ``target_endpoint_count`` serve.
    """

    target: Cells
    old: Cells
    target_endpoints: Cells
    target_endpoint_count: int


def total(cells: Cells) -> CellCounts:
    """Sum all cells."""
    summed = CellCounts()
    for counts in cells.values():
        summed.merge(counts)
    return summed


def since(cells: Cells, earlier: Cells) -> dict[str, CellCounts]:
    """Return what was counted in each cell after ``earlier``."""
    nothing = CellCounts()
    return {
        name: counts.since(earlier.get(name, nothing)) for name, counts in cells.items()
    }
