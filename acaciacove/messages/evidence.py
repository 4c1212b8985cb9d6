"""Evidence on versions, from a sidecar to the entries that judge roll-outs."""

from attrs import frozen

from acaciacove.messages.evidence_cell import EvidenceCell


@frozen
class Evidence:
    """Counters that only grow, so that a lost or doubled message does no harm."""

    cells: tuple[EvidenceCell, ...] = ()
