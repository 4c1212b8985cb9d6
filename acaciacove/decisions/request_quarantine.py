"""Finds requests that crash the endpoints that run them, and quarantines them.

A request is suspected once three endpoints have crashed with it in flight, unless
another request explains the same crashes. Most requests in flight at a crash did not
cause it, so a suspected request gets trials, one at a time in the whole fleet. It is
cleared if it is served, and quarantined if it crashes the endpoint of its trial.
"""

from collections import OrderedDict
from collections.abc import Iterable

from attrs import define, field

from acaciacove.decisions.crash_evidence import CrashEvidence
from acaciacove.decisions.request_status import RequestStatus
from acaciacove.decisions.request_trial import RequestTrial
from acaciacove.messages.request_verdict import (
    CLEARED,
    QUARANTINED,
    TRIED,
    RequestVerdict,
)

MIN_CRASHES_TO_SUSPECT = 3
# Trials of a suspected request, as one may end without a clear result.
MAX_TRIALS = 2
# How long a trial without a result blocks other trials.
TRIAL_TIMEOUT_S = 10.0
# Retry-After during a trial; its result is usually known by then.
TRIAL_RETRY_AFTER_S = 1.0
QUARANTINE_DURATION_S = 86_400.0
# Gateways that have not yet received the clearance may still report old crashes of a
# cleared request.
CLEARED_RETENTION_S = 60.0
MAX_ENTRIES = 1024


@define(eq=False)
class RequestQuarantine:
    """One gateway's view of the requests that may crash endpoints.

    Gateways that have received the same updates have the same view. Times are on the
    clock of the caller.
    """

    evidence: CrashEvidence = field(factory=CrashEvidence)
    _trials: OrderedDict[int, RequestTrial] = field(factory=OrderedDict)
    _quarantined: OrderedDict[int, float] = field(factory=OrderedDict)
    _cleared: OrderedDict[int, float] = field(factory=OrderedDict)

    @property
    def is_empty(self) -> bool:
        """Return whether there is no request to quarantine or to clear."""
        return not (self.evidence or self._trials or self._quarantined)

    @property
    def quarantined_count(self) -> int:
        """Number of quarantined requests."""
        return len(self._quarantined)

    def status(self, fingerprint: int, now_s: float) -> RequestStatus:
        """Return whether the request may be sent now."""
        self._remove_expired(now_s)
        # A quarantine that a peer reports may end before those recorded earlier.
        if self._quarantined.get(fingerprint, float("inf")) <= now_s:
            del self._quarantined[fingerprint]
        if fingerprint in self._quarantined:
            return RequestStatus.QUARANTINED
        trial = self._trials.get(fingerprint)
        if trial is None:
            return RequestStatus.FREE
        if trial.until_s > now_s:
            return RequestStatus.WAITING
        if trial.number < MAX_TRIALS:
            return RequestStatus.TRIAL
        self._quarantine(fingerprint, now_s + QUARANTINE_DURATION_S)
        return RequestStatus.QUARANTINED

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
            endpoint, [each for each in suspects if each not in self._cleared]
        )
        for fingerprint in new:
            self._update_suspicion(fingerprint, now_s)
        return new

    def _update_suspicion(self, fingerprint: int, now_s: float) -> None:
        """Suspect a request, or quarantine it if it crashed its trial endpoint."""
        trial = self._trials.get(fingerprint)
        if trial is not None:
            if self.evidence.was_in_flight_at(trial.endpoint, fingerprint):
                self._quarantine(fingerprint, now_s + QUARANTINE_DURATION_S)
            return
        crashes = self.evidence.crash_count(fingerprint)
        has_enough_crashes = crashes >= MIN_CRASHES_TO_SUSPECT
        if has_enough_crashes and not self.evidence.has_likelier_suspect(fingerprint):
            self.suspect(fingerprint)

    def _quarantine(self, fingerprint: int, until_s: float) -> None:
        self._trials.pop(fingerprint, None)
        self._quarantined[fingerprint] = until_s
        while len(self._quarantined) > MAX_ENTRIES:
            self._quarantined.popitem(last=False)

    def claim_trial(
        self, fingerprint: int, endpoint: int, claim: int, now_s: float
    ) -> RequestVerdict:
        """Claim the one trial of a suspected request; returns the verdict to gossip.

        Other gateways may claim it at the same time. The claimant must check
        ``holds_trial`` after the time in which competing claims arrive.
        """
        number = self._trials.get(fingerprint, RequestTrial()).number + 1
        trial = RequestTrial(number, endpoint, claim, now_s + TRIAL_TIMEOUT_S)
        self._set_trial(fingerprint, trial)
        return _trial_verdict(fingerprint, trial)

    def holds_trial(self, fingerprint: int, claim: int) -> bool:
        """Return whether the trial still belongs to a claim."""
        trial = self._trials.get(fingerprint)
        return trial is not None and trial.claim == claim

    def suspect(self, fingerprint: int) -> None:
        """Refuse a request from now on, except for one trial at a time."""
        if fingerprint not in self._trials and fingerprint not in self._quarantined:
            self._set_trial(fingerprint, RequestTrial())

    def _set_trial(self, fingerprint: int, trial: RequestTrial) -> None:
        self._trials[fingerprint] = trial
        while len(self._trials) > MAX_ENTRIES:
            self._trials.popitem(last=False)

    def clear(self, fingerprint: int, now_s: float) -> bool:
        """Record that a request was served; returns whether peers need an update."""
        was_restricted = self._trials.pop(fingerprint, None) is not None
        was_restricted = (
            self._quarantined.pop(fingerprint, None) is not None or was_restricted
        )
        is_relevant = was_restricted or self.evidence.crash_count(fingerprint) > 1
        self.evidence.discard(fingerprint)
        if is_relevant:
            self._record_cleared(fingerprint, now_s + CLEARED_RETENTION_S)
        return is_relevant

    def apply(self, verdict: RequestVerdict, now_s: float) -> bool:
        """Apply a verdict of another gateway; returns whether it was new."""
        self._remove_expired(now_s)
        fingerprint = verdict.fingerprint
        if fingerprint in self._cleared:
            return False
        if verdict.kind == CLEARED:
            return self._apply_cleared(verdict, now_s)
        if fingerprint in self._quarantined:
            return False
        if verdict.kind == QUARANTINED:
            self._quarantine(
                fingerprint, now_s + min(verdict.left_s, QUARANTINE_DURATION_S)
            )
            return True
        return self._apply_trial(verdict, now_s)

    def _apply_cleared(self, verdict: RequestVerdict, now_s: float) -> bool:
        if verdict.left_s <= 0:
            return False
        self.clear(verdict.fingerprint, now_s)
        until_s = now_s + min(verdict.left_s, CLEARED_RETENTION_S)
        self._record_cleared(verdict.fingerprint, until_s)
        return True

    def _record_cleared(self, fingerprint: int, until_s: float) -> None:
        self._cleared[fingerprint] = until_s
        while len(self._cleared) > MAX_ENTRIES:
            self._cleared.popitem(last=False)

    def _apply_trial(self, verdict: RequestVerdict, now_s: float) -> bool:
        local = self._trials.get(verdict.fingerprint)
        if local is not None and _supersedes(local, verdict):
            return False
        if not verdict.trials:
            self.suspect(verdict.fingerprint)
            return True
        trial = RequestTrial(
            verdict.trials, verdict.endpoint, verdict.claim, now_s + TRIAL_TIMEOUT_S
        )
        self._set_trial(verdict.fingerprint, trial)
        self._update_suspicion(verdict.fingerprint, now_s)
        return True

    def verdicts(self, now_s: float) -> list[RequestVerdict]:
        """Return all verdicts that peers should have as well."""
        self._remove_expired(now_s)
        found = [
            RequestVerdict(each, QUARANTINED, left_s=until_s - now_s)
            for each, until_s in self._quarantined.items()
        ]
        found += [_trial_verdict(each, trial) for each, trial in self._trials.items()]
        return found + [
            RequestVerdict(each, CLEARED, left_s=until_s - now_s)
            for each, until_s in self._cleared.items()
        ]

    def _remove_expired(self, now_s: float) -> None:
        for expiries in (self._cleared, self._quarantined):
            while expiries and next(iter(expiries.values())) <= now_s:
                expiries.popitem(last=False)


def _trial_verdict(fingerprint: int, trial: RequestTrial) -> RequestVerdict:
    return RequestVerdict(
        fingerprint, TRIED, trial.number, trial.endpoint, claim=trial.claim
    )


def _supersedes(local: RequestTrial, received: RequestVerdict) -> bool:
    """Return whether a local trial takes precedence over a received one.

    The higher trial number wins, and the lower claim if the numbers are equal.
    """
    return local.number > received.trials or (
        local.number == received.trials and local.claim <= received.claim
    )
