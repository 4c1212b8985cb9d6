"""Message with evidence on versions, between sidecars and judging entries."""

from attrs import frozen

from acaciacove.messages.evidence_cell import EvidenceCell


@frozen
class Evidence:
    """Counters that never decrease, so that lost or duplicate messages are harmless.

    ``window`` is the sender's current window. Windows are counted in ratings, which
    only the judging entries read. A sidecar therefore takes the window from their
    reply, which has no cells.
    """

    cells: tuple[EvidenceCell, ...] = ()
    window: int = 0
