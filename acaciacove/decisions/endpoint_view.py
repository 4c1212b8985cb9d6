"""What one entry knows of one endpoint."""

from attrs import define, field

from acaciacove.fleet.instance import Instance
from acaciacove.messages.load import Load

MAX_PREFIXES = 256
FAILURE_PENALTY_S = 5.0


@define
class EndpointView:
    """The endpoint's last report and this entry's own exact counts.

    ``own_at_report`` is how many of this entry's requests the report included.
    ``prefixes`` remembers prompt prefixes lately sent here, oldest first: cache
    events come late and with gaps, an entry's own sends do not.
    """

    instance: Instance
    load: Load = Load()
    reported_at_s: float = float("-inf")
    own_in_flight: int = 0
    own_at_report: int = 0
    failed_at_s: float = float("-inf")
    failures: int = 0
    prefixes: dict[str, None] = field(factory=dict)

    def sent(self, prefix_hash: str = "") -> None:
        """Count a request sent to the endpoint."""
        self.own_in_flight += 1
        if prefix_hash:
            self.prefixes.pop(prefix_hash, None)
            self.prefixes[prefix_hash] = None
            if len(self.prefixes) > MAX_PREFIXES:
                del self.prefixes[next(iter(self.prefixes))]

    def ended(self, ok: bool, now_s: float) -> None:
        """Count a request answered, refused or lost."""
        self.own_in_flight = max(0, self.own_in_flight - 1)
        self.failures = 0 if ok else self.failures + 1
        if not ok:
            self.failed_at_s = now_s

    def reported(self, load: Load, now_s: float) -> None:
        """Take in a load report that came with a message of its sidecar."""
        self.load = load
        self.reported_at_s = now_s
        self.own_at_report = self.own_in_flight

    def evicted(self, prefix_hash: str) -> None:
        """Take in a cache event: the engine has dropped a prefix."""
        self.prefixes.pop(prefix_hash, None)
