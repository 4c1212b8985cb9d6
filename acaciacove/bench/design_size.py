"""The size to design for."""

from attrs import frozen


@frozen
class DesignSize:
    """The next two years, as the users plan them.

    ``non_idempotent_share`` and ``claim_owners`` are assumptions: the share of
    requests that may not be repeated, and the endpoints that run them. So are
    ``organisations`` and ``note_bytes``, the size of an average release note.
    """

    entries: int = 380
    endpoints: int = 600
    requests_per_s: float = 7800.0
    tokens_per_s: float = 1_800_000.0
    versions: int = 7
    regions: int = 2
    availability_zones: int = 5
    changes_per_day: int = 920
    restarts_per_day: int = 140
    organisations: int = 40
    non_idempotent_share: float = 0.05
    claim_owners: int = 60
    note_bytes: int = 2000

    @property
    def processes(self) -> int:
        """Count the system's own processes."""
        return self.entries + self.endpoints
