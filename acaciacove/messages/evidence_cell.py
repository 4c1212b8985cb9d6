"""One counter of evidence on a version, as one origin has counted it."""

from attrs import frozen


@frozen
class EvidenceCell:
    """The wire form of ``decisions.shared_cell.SharedCell``."""

    origin: str
    name: tuple[str, ...]
    count: float
    total: float = 0.0
    squares: float = 0.0
