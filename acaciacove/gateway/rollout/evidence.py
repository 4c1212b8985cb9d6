"""Evidence on the new and the old version of a service at one moment."""

from collections.abc import Mapping

from attrs import frozen

from acaciacove.gateway.rollout.cell_counts import CellCounts

Cells = Mapping[str, CellCounts]


@frozen
class Evidence:
    """Counts of both versions, summed over gateways.

    ``target`` (the new version) and ``old`` are keyed by kind of request (route and
    model), ``target_endpoints`` by endpoint of the new version. At the moment
    ``target_endpoint_count`` endpoints serve the new version.
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
    """Return the counts added to each cell after ``earlier``."""
    zero = CellCounts()
    return {
        name: counts.since(earlier.get(name, zero)) for name, counts in cells.items()
    }
