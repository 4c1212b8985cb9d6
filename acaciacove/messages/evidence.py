"""Evidence on versions, between sidecars and the entries that judge versions."""

from attrs import frozen

from acaciacove.messages.evidence_cell import EvidenceCell


@frozen
class Evidence:
    """Counters that only grow, so that a lost or doubled message does no harm.

    ``window`` is the sender's: windows are counted in ratings, which only the
    judging entries read, so their answer, without cells, tells the sidecar.
    """

    cells: tuple[EvidenceCell, ...] = ()
    window: int = 0
