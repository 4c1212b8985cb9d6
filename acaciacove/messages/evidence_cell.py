"""One counter of evidence on a version, of one origin."""

from attrs import frozen


@frozen
class EvidenceCell:
    """Wire format of ``decisions.shared_cell.SharedCell``."""

    origin: str
    name: tuple[str, ...]
    count: float
    total: float = 0.0
    squares: float = 0.0
