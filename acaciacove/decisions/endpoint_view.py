"""What one entry knows of one endpoint."""

from collections import Counter, deque

from attrs import define, field

from acaciacove.fleet.instance import Instance
from acaciacove.messages.load import Load

MAX_PREFIXES = 256
MAX_CHANGES = 512


@define
class EndpointView:
    """The endpoint's last report and this entry's own exact counts.

    Own sends and ends after a report was made are added to it, so a burst of one
    entry's own requests is never hidden by the report's lag. ``prefixes`` remembers
    prompt prefixes lately sent here, oldest first: cache events come late and with
    gaps, an entry's own sends do not.
    """

    instance: Instance
    load: Load = Load()
    reported_at_s: float = float("-inf")
    own_in_flight: int = 0
    by_organisation: Counter[str] = field(factory=Counter)
    failed_at_s: float = float("-inf")
    failures: int = 0
    prefixes: dict[str, None] = field(factory=dict)
    _changes: deque[tuple[float, int]] = field(
        factory=lambda: deque(maxlen=MAX_CHANGES)
    )

    def sent(self, now_s: float, prefix_hash: str = "", organisation: str = "") -> None:
        """Count a request sent to the endpoint."""
        self.own_in_flight += 1
        self.by_organisation[organisation] += 1
        self._changes.append((now_s, 1))
        if prefix_hash:
            self.prefixes.pop(prefix_hash, None)
            self.prefixes[prefix_hash] = None
            if len(self.prefixes) > MAX_PREFIXES:
                del self.prefixes[next(iter(self.prefixes))]

    def ended(self, ok: bool, now_s: float, organisation: str = "") -> None:
        """Count a request answered, refused or lost; by the same organisation.

        ``ok`` is false for a failure. A sidecar's refusal is none: a flood's refusals
        would otherwise make each endpoint in turn look broken to everyone.
        """
        self.own_in_flight = max(0, self.own_in_flight - 1)
        self.by_organisation[organisation] -= 1
        if self.by_organisation[organisation] <= 0:
            del self.by_organisation[organisation]
        self._changes.append((now_s, -1))
        self.failures = 0 if ok else self.failures + 1
        if not ok:
            self.failed_at_s = now_s

    def reported(self, load: Load, made_at_s: float) -> None:
        """Take in a load report, made at ``made_at_s`` as far as one knows."""
        if made_at_s < self.reported_at_s:
            return
        self.load = load
        self.reported_at_s = made_at_s
        while self._changes and self._changes[0][0] <= made_at_s:
            self._changes.popleft()

    def evicted(self, prefix_hash: str) -> None:
        """Take in a cache event: the engine has dropped a prefix."""
        self.prefixes.pop(prefix_hash, None)

    @property
    def at_endpoint(self) -> int:
        """Requests there by the last report and the own sends and ends since."""
        reported = self.load.in_flight + self.load.queued
        since = sum(change for _, change in self._changes)
        return max(self.own_in_flight, reported + since)
