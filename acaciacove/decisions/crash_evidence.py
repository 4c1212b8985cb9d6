"""Which requests were under way at which crashes of endpoints."""

from collections import OrderedDict
from collections.abc import Iterable

from attrs import define, field

# Crashes that are remembered, the oldest forgotten first; and requests of each.
MAX_CRASHES = 128
MAX_SUSPECTS_PER_CRASH = 128


@define(eq=False)
class CrashEvidence:
    """Grows by what gateways saw; the order in which they tell it does not matter.

    Endpoints are numbers that stand for one life of each, requests their
    fingerprints.
    """

    _suspects: OrderedDict[int, set[int]] = field(factory=OrderedDict)
    _crashes: dict[int, set[int]] = field(factory=dict)

    def __contains__(self, fingerprint: int) -> bool:
        """Tell whether any endpoint crashed while the request was there."""
        return fingerprint in self._crashes

    def __bool__(self) -> bool:
        """Tell whether there is any."""
        return bool(self._crashes)

    def add(self, endpoint: int, suspects: Iterable[int]) -> list[int]:
        """Note a crash; returns the suspects that were not known of it.

        Those that most endpoints crashed under come first, and are kept if there are
        too many.
        """
        known = self._suspects.setdefault(endpoint, set())
        new = sorted(set(suspects) - known, key=self.crash_count, reverse=True)
        new = new[: MAX_SUSPECTS_PER_CRASH - len(known)]
        known.update(new)
        for fingerprint in new:
            self._crashes.setdefault(fingerprint, set()).add(endpoint)
        while len(self._suspects) > MAX_CRASHES:
            oldest, forgotten = self._suspects.popitem(last=False)
            for fingerprint in forgotten:
                self._remove_crash(fingerprint, oldest)
        return new

    def _remove_crash(self, fingerprint: int, endpoint: int) -> None:
        crashes = self._crashes[fingerprint]
        crashes.discard(endpoint)
        if not crashes:
            del self._crashes[fingerprint]

    def discard(self, fingerprint: int) -> None:
        """Take a request off all crashes: one that was served has caused none."""
        for endpoint in self._crashes.pop(fingerprint, ()):
            self._suspects[endpoint].discard(fingerprint)

    def crash_count(self, fingerprint: int) -> int:
        """Return how many endpoints crashed while the request was there."""
        return len(self._crashes.get(fingerprint, ()))

    def was_in_flight_at(self, endpoint: int, fingerprint: int) -> bool:
        """Tell whether the request was at an endpoint when it crashed."""
        return endpoint in self._crashes.get(fingerprint, ())

    def suspects_of(self, endpoint: int) -> list[int]:
        """Return the requests that were at an endpoint when it crashed.

        Those that most endpoints crashed under come first.
        """
        found = self._suspects.get(endpoint, ())
        return sorted(found, key=self.crash_count, reverse=True)

    def has_likelier_suspect(self, fingerprint: int) -> bool:
        """Tell whether another request was there at all the same crashes, and more.

        That one is the likelier cause. Without this, requests that share endpoints
        with the one that crashes them would be taken for it.
        """
        own = self._crashes.get(fingerprint)
        if not own:
            return False
        others = self._suspects[next(iter(own))]
        return any(own < self._crashes[other] for other in others)
