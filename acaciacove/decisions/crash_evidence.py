"""Records which requests were in flight at which endpoint crashes.

A request stands for its fingerprint and for the keys of what it shares with others.
"""

from collections import OrderedDict
from collections.abc import Container, Iterable

from attrs import define, field

from acaciacove.decisions.crash_key import is_shared

# Bounds of the stored evidence; the oldest crashes are evicted first.
MAX_CRASHES = 64
MAX_SUSPECTS_PER_CRASH = 256
# With fewer crashes, a key is not suspected.
MIN_CRASHES_TO_SUSPECT = 3
# The same for one that was served lately. Where every endpoint of a service is down,
# nothing is served that would clear the parts that all its requests have.
MIN_CRASHES_TO_SUSPECT_SERVED = 5


@define(eq=False)
class CrashEvidence:
    """Crashes seen by all gateways; the order of the reports does not matter.

    Endpoints are identified by the number of one incarnation, requests and what they
    share by their keys. A key that was exonerated of a crash is not recorded for it
    again, when another gateway reports the crash.
    """

    _suspects: OrderedDict[int, set[int]] = field(factory=OrderedDict)
    _exonerated: dict[int, set[int]] = field(factory=dict)
    _crashes: dict[int, set[int]] = field(factory=dict)
    # The keys with ``MIN_CRASHES_TO_SUSPECT`` or more, which are few.
    _frequent: set[int] = field(factory=set)

    def __contains__(self, fingerprint: int) -> bool:
        """Return whether any endpoint crashed with the request in flight."""
        return fingerprint in self._crashes

    def __bool__(self) -> bool:
        """Return whether any request was in flight at a crash."""
        return bool(self._crashes)

    def add(self, endpoint: int, suspects: Iterable[int]) -> list[int]:
        """Record a crash; returns the suspects that are new for it.

        Suspects are sorted by their number of crashes, highest first, and shared keys
        before others. Beyond ``MAX_SUSPECTS_PER_CRASH`` the last ones are dropped.
        """
        recorded = self._suspects.setdefault(endpoint, set())
        exonerated = self._exonerated.setdefault(endpoint, set())
        new = sorted(set(suspects) - recorded - exonerated, key=self._rank)
        new = new[: MAX_SUSPECTS_PER_CRASH - len(recorded) - len(exonerated)]
        recorded.update(new)
        for fingerprint in new:
            self._crashes.setdefault(fingerprint, set()).add(endpoint)
            if self.crash_count(fingerprint) >= MIN_CRASHES_TO_SUSPECT:
                self._frequent.add(fingerprint)
        while len(self._suspects) > MAX_CRASHES:
            oldest, evicted = self._suspects.popitem(last=False)
            self._exonerated.pop(oldest, None)
            for fingerprint in evicted:
                self._remove_crash(fingerprint, oldest)
        return new

    def _rank(self, key: int) -> tuple[int, bool]:
        return (-self.crash_count(key), not is_shared(key))

    def _remove_crash(self, fingerprint: int, endpoint: int) -> None:
        crashes = self._crashes[fingerprint]
        crashes.discard(endpoint)
        if len(crashes) < MIN_CRASHES_TO_SUSPECT:
            self._frequent.discard(fingerprint)
        if not crashes:
            del self._crashes[fingerprint]

    def discard(self, fingerprint: int) -> None:
        """Exonerate a key of all crashes so far, as a request with it was served."""
        self._frequent.discard(fingerprint)
        for endpoint in self._crashes.pop(fingerprint, ()):
            self._suspects[endpoint].discard(fingerprint)
            self._exonerated[endpoint].add(fingerprint)

    def crash_count(self, fingerprint: int) -> int:
        """Return how many endpoints crashed with the request in flight."""
        return len(self._crashes.get(fingerprint, ()))

    def was_in_flight_at(self, endpoint: int, fingerprint: int) -> bool:
        """Return whether the request was in flight when the endpoint crashed."""
        return endpoint in self._crashes.get(fingerprint, ())

    def suspects_of(self, endpoint: int) -> list[int]:
        """Return the requests that were in flight when an endpoint crashed.

        They are sorted as in ``add``.
        """
        return sorted(self._suspects.get(endpoint, ()), key=self._rank)

    def has_likelier_suspect(
        self,
        fingerprint: int,
        causes: Container[int] = (),
        proven: Container[int] = (),
    ) -> bool:
        """Return whether another key was in flight at all its crashes and more.

        The other one is then the likelier cause. Without this check, requests that
        share endpoints with the request that crashes them would be suspected. A known
        cause, one of ``causes``, need not have more crashes. If one request explains
        all crashes of something shared, it is that request's fault. A key of
        ``proven`` was served lately: it explains no crash of one that was not, and is
        itself suspected only for the crashes that no such key explains.
        """
        crashes = self._crashes.get(fingerprint)
        if not crashes:
            return False
        is_proven = fingerprint in proven
        if is_proven and self._is_covered(crashes, proven):
            return True
        for other in self._frequent - {fingerprint}:
            if other in proven and not is_proven and other not in causes:
                continue
            wins_tie = other in causes or (
                is_shared(fingerprint) and not is_shared(other)
            )
            if crashes < self._crashes[other]:
                return True
            if wins_tie and crashes == self._crashes[other]:
                return True
        return False

    def explains(self, cause: int, key: int) -> bool:
        """Return whether one key was in flight at all crashes of another."""
        crashes = self._crashes.get(key, set())
        return bool(crashes) and crashes <= self._crashes.get(cause, set())

    def _is_covered(self, crashes: set[int], proven: Container[int]) -> bool:
        """Return whether keys that were not served explain all but a few crashes."""
        unexplained = set(crashes)
        for other in self._frequent:
            if other not in proven:
                unexplained -= self._crashes[other]
        return len(unexplained) < MIN_CRASHES_TO_SUSPECT_SERVED
