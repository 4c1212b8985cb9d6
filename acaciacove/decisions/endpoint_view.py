"""State of one endpoint as seen by one entry."""

from collections import Counter, deque

from attrs import define, field

from acaciacove.fleet.instance import Instance
from acaciacove.messages.load import Load

MAX_PREFIXES = 256
MAX_CHANGES = 512


@define
class EndpointView:
    """Last load report of the endpoint and exact counts of this entry's requests.

    Requests that this entry sent or finished after the report was made are added to
    it, so the age of a report never hides a burst from this entry. ``prefixes`` holds
    the prompt prefixes recently sent to the endpoint, oldest first. Cache events
    arrive late and incomplete, the entry's own requests are known at once.
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
        """Count a request that is sent to the endpoint."""
        self.own_in_flight += 1
        self.by_organisation[organisation] += 1
        self._changes.append((now_s, 1))
        if prefix_hash:
            self.prefixes.pop(prefix_hash, None)
            self.prefixes[prefix_hash] = None
            if len(self.prefixes) > MAX_PREFIXES:
                del self.prefixes[next(iter(self.prefixes))]

    def ended(self, ok: bool, now_s: float, organisation: str = "") -> None:
        """Count a request that was answered, refused or lost.

        ``organisation`` is the one passed to ``sent``. ``ok`` is False for a failure. A
        sidecar's refusal is not a failure: otherwise the refusals of one flood would
        make one endpoint after the other look broken to all organisations.
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
        """Apply a load report that was made at about ``made_at_s``.

        Ignores a report that is older than the last one.
        """
        if made_at_s < self.reported_at_s:
            return
        self.load = load
        self.reported_at_s = made_at_s
        while self._changes and self._changes[0][0] <= made_at_s:
            self._changes.popleft()

    def evicted(self, prefix_hash: str) -> None:
        """Apply a cache event: the engine has evicted a prefix."""
        self.prefixes.pop(prefix_hash, None)

    @property
    def at_endpoint(self) -> int:
        """Requests at the endpoint: the last report and the local changes since."""
        reported = self.load.in_flight + self.load.queued
        since = sum(change for _, change in self._changes)
        return max(self.own_in_flight, reported + since)
