"""Finds requests that crash the endpoints that run them, and quarantines them.

A request is suspected once three endpoints have crashed with it in flight, unless
another request explains the same crashes. Most requests in flight at a crash did not
cause it, so a suspected request gets trials, one at a time in the whole fleet. It is
cleared if it is served, and quarantined if it crashes the endpoint of its trial.

What several requests share, such as a part of their prompts, is treated alike under a
key of its own: each request that is served clears all its keys. Many sound requests may
share it, so it is suspected only if none of them is served for a while, and tried only
by a request that holds nothing else that may be the cause.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from attrs import define, field

from acaciacove.decisions.clearances import CLEARED_RETENTION_S, Clearances
from acaciacove.decisions.crash_evidence import (
    MIN_CRASHES_TO_SUSPECT,
    CrashEvidence,
)
from acaciacove.decisions.crash_key import is_shared
from acaciacove.decisions.request_assessment import RequestAssessment
from acaciacove.decisions.request_status import RequestStatus
from acaciacove.decisions.request_trial import RequestTrial
from acaciacove.decisions.request_trials import RequestTrials
from acaciacove.messages.request_verdict import (
    CLEARED,
    QUARANTINED,
    RequestVerdict,
)

# Trials of a suspected request, as one may end without a clear result.
MAX_TRIALS = 2
# Retry-After during a trial; its result is usually known by then.
TRIAL_RETRY_AFTER_S = 1.0
QUARANTINE_DURATION_S = 86_400.0
# The first quarantine of something shared. It is tried once more after it, as many
# sound requests would pay for an error.
SHARED_QUARANTINE_S = 300.0
# Something shared that is in use is served again within this time of a crash.
PROOF_WAIT_S = 1.0
MAX_ENTRIES = 1024
# Something shared that was served within this time is an unlikely cause.
SERVED_MEMORY_S = 60.0
MAX_SERVED = 4096


@define(eq=False)
class RequestQuarantine:
    """One gateway's view of the requests that may crash endpoints.

    Gateways that have received the same updates have the same view. Times are on the
    clock of the caller.
    """

    evidence: CrashEvidence = field(factory=CrashEvidence)
    trials: RequestTrials = field(factory=RequestTrials)
    _quarantined: OrderedDict[int, float] = field(factory=OrderedDict)
    _clearances: Clearances = field(factory=Clearances)
    _candidates: OrderedDict[int, float] = field(factory=OrderedDict)
    _tried_again: OrderedDict[int, None] = field(factory=OrderedDict)
    _served: OrderedDict[int, float] = field(factory=OrderedDict)

    @property
    def is_empty(self) -> bool:
        """Return whether there is no request to quarantine or to clear."""
        return not (self.evidence or self.trials or self._quarantined)

    @property
    def quarantined_count(self) -> int:
        """Number of quarantined requests and shared keys."""
        return len(self._quarantined)

    def status(self, fingerprint: int, now_s: float) -> RequestStatus:
        """Return whether requests with this key may be sent now."""
        self._remove_expired(now_s)
        # A quarantine that a peer reports may end before those recorded earlier.
        if self._quarantined.get(fingerprint, float("inf")) <= now_s:
            self._end_quarantine(fingerprint)
        if fingerprint in self._quarantined:
            return RequestStatus.QUARANTINED
        if is_shared(fingerprint):
            self._consider_shared(fingerprint, now_s)
        trial = self.trials.get(fingerprint)
        if trial is None:
            return RequestStatus.FREE
        if trial.until_s > now_s:
            return RequestStatus.WAITING
        if trial.number < MAX_TRIALS:
            return RequestStatus.TRIAL
        self._convict(fingerprint, now_s)
        return RequestStatus.QUARANTINED

    def assess(self, keys: Sequence[int], now_s: float) -> RequestAssessment:
        """Return whether a request with these keys may be sent, and the decisive key.

        A trial of something shared must not hold anything else that is shared and may
        be the cause: the wrong one would be blamed for a crash.
        """
        statuses = {key: self.status(key, now_s) for key in keys}
        for decisive in (RequestStatus.QUARANTINED, RequestStatus.WAITING):
            for key, status in statuses.items():
                if status is decisive:
                    return RequestAssessment(status, key)
        suspects = [k for k, s in statuses.items() if s is RequestStatus.TRIAL]
        shared = [key for key in suspects if is_shared(key)]
        if any(self._is_ambiguous(key, keys) for key in shared):
            return RequestAssessment(RequestStatus.WAITING, shared[0])
        if suspects:
            return RequestAssessment(RequestStatus.TRIAL, (shared or suspects)[0])
        return RequestAssessment(RequestStatus.FREE)

    def _is_ambiguous(self, tried: int, keys: Sequence[int]) -> bool:
        others = [key for key in keys if key != tried and is_shared(key)]
        return any(key in self.trials or self._may_be_cause(key) for key in others)

    def _may_be_cause(self, key: int) -> bool:
        if self.evidence.crash_count(key) < MIN_CRASHES_TO_SUSPECT:
            return False
        return key not in self._served or self._is_suspicious(key)

    def retry_after_s(self, fingerprint: int, now_s: float) -> float:
        """Return the seconds until a refused request should be retried."""
        until_s = self._quarantined.get(fingerprint)
        return TRIAL_RETRY_AFTER_S if until_s is None else until_s - now_s

    def record_crash(
        self, endpoint: int, suspects: Iterable[int], now_s: float
    ) -> list[int]:
        """Record a crash; returns the suspects that are new for it."""
        self._remove_expired(now_s)
        new = self.evidence.add(
            endpoint,
            [k for k in suspects if not self._clearances.covers_report(k, now_s)],
        )
        for fingerprint in new:
            self._update_suspicion(fingerprint, now_s)
        return new

    def _update_suspicion(self, fingerprint: int, now_s: float) -> None:
        """Suspect a request, or quarantine it if it crashed its trial endpoint."""
        trial = self.trials.get(fingerprint)
        if trial is not None:
            if self.evidence.was_in_flight_at(trial.endpoint, fingerprint):
                self._judge_trial(fingerprint, now_s)
        elif is_shared(fingerprint):
            self._consider_shared(fingerprint, now_s)
        elif self._is_suspicious(fingerprint):
            self.suspect(fingerprint)

    def _is_suspicious(self, key: int) -> bool:
        crashes = self.evidence.crash_count(key)
        return crashes >= MIN_CRASHES_TO_SUSPECT and not self._has_likelier_suspect(key)

    def _has_likelier_suspect(self, key: int) -> bool:
        return self.evidence.has_likelier_suspect(key, self._quarantined, self._served)

    def _consider_shared(self, key: int, now_s: float) -> None:
        """Suspect something shared if no request clears it for ``PROOF_WAIT_S``."""
        if key in self.trials or key in self._quarantined:
            return
        if not self._is_suspicious(key):
            self._candidates.pop(key, None)
            return
        since_s = self._candidates.setdefault(key, now_s)
        if now_s - since_s >= PROOF_WAIT_S:
            del self._candidates[key]
            self.suspect(key)
        while len(self._candidates) > MAX_ENTRIES:
            self._candidates.popitem(last=False)

    def _judge_trial(self, key: int, now_s: float) -> None:
        """Quarantine a key whose trial ended in a crash, unless another caused it."""
        if self._has_likelier_suspect(key):
            self.trials.discard(key)
        else:
            self._convict(key, now_s)

    def _convict(self, key: int, now_s: float) -> None:
        """Quarantine a key, something shared for a shorter time at first."""
        is_first = is_shared(key) and key not in self._tried_again
        duration_s = SHARED_QUARANTINE_S if is_first else QUARANTINE_DURATION_S
        self._quarantine(key, now_s + duration_s)

    def _quarantine(self, fingerprint: int, until_s: float) -> None:
        self.trials.discard(fingerprint)
        self._candidates.pop(fingerprint, None)
        self._quarantined[fingerprint] = until_s
        while len(self._quarantined) > MAX_ENTRIES:
            self._quarantined.popitem(last=False)
        for other in self.trials.suspects():
            if self.evidence.explains(fingerprint, other):
                self.trials.discard(other)

    def _end_quarantine(self, key: int) -> None:
        """End a quarantine; something shared is let through once more, as a trial."""
        del self._quarantined[key]
        if is_shared(key):
            self._tried_again[key] = None
            while len(self._tried_again) > MAX_ENTRIES:
                self._tried_again.popitem(last=False)
            self.trials.set(key, RequestTrial(number=MAX_TRIALS - 1))

    def suspect(self, fingerprint: int) -> None:
        """Refuse a request from now on, except for one trial at a time."""
        if fingerprint not in self._quarantined:
            self.trials.add(fingerprint)

    def record_served(self, keys: Sequence[int], now_s: float) -> list[int]:
        """Record a served request; returns the keys that peers need an update on."""
        for key in keys:
            if is_shared(key):
                self._served[key] = now_s
                self._served.move_to_end(key)
        while len(self._served) > MAX_SERVED:
            self._served.popitem(last=False)
        if self.is_empty:
            return []
        return [key for key in keys if self.clear(key, now_s)]

    def clear(self, fingerprint: int, now_s: float) -> bool:
        """Record that a request was served; returns whether peers need an update."""
        self._candidates.pop(fingerprint, None)
        self._tried_again.pop(fingerprint, None)
        was_restricted = self.trials.discard(fingerprint)
        was_restricted = (
            self._quarantined.pop(fingerprint, None) is not None or was_restricted
        )
        is_relevant = was_restricted or self.evidence.crash_count(fingerprint) > 1
        self.evidence.discard(fingerprint)
        if is_relevant:
            self._clearances.record(fingerprint, now_s + CLEARED_RETENTION_S)
        return is_relevant

    def apply(self, verdict: RequestVerdict, now_s: float) -> bool:
        """Apply a verdict of another gateway; returns whether it was new."""
        self._remove_expired(now_s)
        fingerprint = verdict.fingerprint
        if verdict.kind == CLEARED:
            return self._apply_cleared(verdict, now_s)
        if self._is_outdated(verdict, now_s):
            return False
        if fingerprint in self._quarantined:
            return False
        if verdict.kind == QUARANTINED:
            self._quarantine(
                fingerprint, now_s + min(verdict.left_s, QUARANTINE_DURATION_S)
            )
            return True
        if not self.trials.apply(verdict, now_s):
            return False
        if verdict.trials:
            self._update_suspicion(fingerprint, now_s)
        return True

    def _apply_cleared(self, verdict: RequestVerdict, now_s: float) -> bool:
        key = verdict.fingerprint
        until_s = now_s + min(verdict.left_s, CLEARED_RETENTION_S)
        if verdict.left_s <= 0 or not self._clearances.is_new(key, until_s):
            return False
        quarantined_until_s = self._quarantined.get(key)
        if is_shared(key) and quarantined_until_s is not None:
            left_s = quarantined_until_s - now_s
            if until_s - CLEARED_RETENTION_S < _quarantined_s(left_s, now_s):
                return False
        self.clear(key, now_s)
        self._clearances.record(key, until_s)
        return True

    def _is_outdated(self, verdict: RequestVerdict, now_s: float) -> bool:
        """Return whether a verdict against a key is older than its clearance here.

        The claim on a trial does not say when it was made. It is believed if there was
        a crash after the clearance.
        """
        key = verdict.fingerprint
        if verdict.kind == QUARANTINED:
            return self._clearances.covers(key, _quarantined_s(verdict.left_s, now_s))
        if is_shared(key) and self.evidence.crash_count(key):
            return False
        return self._clearances.covers(key, float("-inf"))

    def is_cleared(self, fingerprint: int) -> bool:
        """Return whether a request is known to be cleared, and not suspected since."""
        return (
            fingerprint not in self.trials
            and fingerprint not in self._quarantined
            and self._clearances.covers(fingerprint, float("-inf"))
        )

    def verdicts(self, now_s: float) -> list[RequestVerdict]:
        """Return all verdicts that peers should have as well."""
        self._remove_expired(now_s)
        found = [
            RequestVerdict(each, QUARANTINED, left_s=until_s - now_s)
            for each, until_s in self._quarantined.items()
        ]
        found += self.trials.verdicts()
        return found + [
            RequestVerdict(each, CLEARED, left_s=until_s - now_s)
            for each, until_s in self._clearances.items()
        ]

    def _remove_expired(self, now_s: float) -> None:
        while self._served and (
            next(iter(self._served.values())) <= now_s - SERVED_MEMORY_S
        ):
            self._served.popitem(last=False)
        self._clearances.remove_expired(now_s)
        while self._quarantined and next(iter(self._quarantined.values())) <= now_s:
            self._end_quarantine(next(iter(self._quarantined)))


def _quarantined_s(left_s: float, now_s: float) -> float:
    """Return when a quarantine of something shared began, from the rest of its time."""
    is_first = left_s <= SHARED_QUARANTINE_S
    duration_s = SHARED_QUARANTINE_S if is_first else QUARANTINE_DURATION_S
    return now_s + left_s - duration_s
