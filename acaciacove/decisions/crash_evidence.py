"""Records which requests were in flight at which endpoint crashes."""

from collections import OrderedDict
from collections.abc import Iterable

from attrs import define, field

# Bounds of the stored evidence; the oldest crashes are evicted first.
MAX_CRASHES = 128
MAX_SUSPECTS_PER_CRASH = 128


@define(eq=False)
class CrashEvidence:
    """Crashes seen by all gateways; the order of the reports does not matter.

    Endpoints are identified by the number of one incarnation, requests by their
    fingerprints.
    """

    _suspects: OrderedDict[int, set[int]] = field(factory=OrderedDict)
    _crashes: dict[int, set[int]] = field(factory=dict)

    def __contains__(self, fingerprint: int) -> bool:
        """Return whether any endpoint crashed with the request in flight."""
        return fingerprint in self._crashes

    def __bool__(self) -> bool:
        """Return whether any request was in flight at a crash."""
        return bool(self._crashes)

    def add(self, endpoint: int, suspects: Iterable[int]) -> list[int]:
        """Record a crash; returns the suspects that are new for it.

        Suspects are sorted by their number of crashes, highest first. Beyond
        ``MAX_SUSPECTS_PER_CRASH`` the ones with the fewest crashes are dropped.
        """
        recorded = self._suspects.setdefault(endpoint, set())
        new = sorted(set(suspects) - recorded, key=self.crash_count, reverse=True)
        new = new[: MAX_SUSPECTS_PER_CRASH - len(recorded)]
        recorded.update(new)
        for fingerprint in new:
            self._crashes.setdefault(fingerprint, set()).add(endpoint)
        while len(self._suspects) > MAX_CRASHES:
            oldest, evicted = self._suspects.popitem(last=False)
            for fingerprint in evicted:
                self._remove_crash(fingerprint, oldest)
        return new

    def _remove_crash(self, fingerprint: int, endpoint: int) -> None:
        crashes = self._crashes[fingerprint]
        crashes.discard(endpoint)
        if not crashes:
            del self._crashes[fingerprint]

    def discard(self, fingerprint: int) -> None:
        """Remove a request from all crashes, as it was served and caused none."""
        for endpoint in self._crashes.pop(fingerprint, ()):
            self._suspects[endpoint].discard(fingerprint)

    def crash_count(self, fingerprint: int) -> int:
        """Return how many endpoints crashed with the request in flight."""
        return len(self._crashes.get(fingerprint, ()))

    def was_in_flight_at(self, endpoint: int, fingerprint: int) -> bool:
        """Return whether the request was in flight when the endpoint crashed."""
        return endpoint in self._crashes.get(fingerprint, ())

    def suspects_of(self, endpoint: int) -> list[int]:
        """Return the requests that were in flight when an endpoint crashed.

        They are sorted by their number of crashes, highest first.
        """
        found = self._suspects.get(endpoint, ())
        return sorted(found, key=self.crash_count, reverse=True)

    def has_likelier_suspect(self, fingerprint: int) -> bool:
        """Return whether another request was in flight at all its crashes and more.

        The other request is then the likelier cause. Without this check, requests
        that share endpoints with the request that crashes them would be suspected.
        """
        crashes = self._crashes.get(fingerprint)
        if not crashes:
            return False
        others = self._suspects[next(iter(crashes))]
        return any(crashes < self._crashes[other] for other in others)
