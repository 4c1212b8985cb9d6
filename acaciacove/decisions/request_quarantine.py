"""Finds the request that crashes the endpoints that run it, and holds it back.

A request under which three endpoints have crashed is suspected, unless another one
explains the same crashes. It gets one more try at a time in the whole fleet: many
requests are under way at an endpoint that crashes, and most of them did nothing. One
that is served is cleared; one that crashes the endpoint of its try is quarantined.
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
# Tries of a suspected request, in case that one has no clear end.
MAX_TRIALS = 2
# How long others wait for the end of a try.
TRIAL_TIMEOUT_S = 10.0
# When the end of another's try is likely known.
TRIAL_RETRY_AFTER_S = 1.0
QUARANTINE_DURATION_S = 86_400.0
# Gateways that have not heard of it may still tell old crashes of a cleared request.
CLEARED_RETENTION_S = 60.0
MAX_ENTRIES = 1024


@define(eq=False)
class RequestQuarantine:
    """What one gateway knows of requests that may crash endpoints.

    All gateways that have been told the same hold the same; times are of the
    caller's clock.
    """

    evidence: CrashEvidence = field(factory=CrashEvidence)
    _trials: OrderedDict[int, RequestTrial] = field(factory=OrderedDict)
    _quarantined: OrderedDict[int, float] = field(factory=OrderedDict)
    _cleared: OrderedDict[int, float] = field(factory=OrderedDict)

    @property
    def is_empty(self) -> bool:
        """Tell whether there is no request to hold back or to clear."""
        return not (self.evidence or self._trials or self._quarantined)

    @property
    def quarantined_count(self) -> int:
        """How many requests are in quarantine."""
        return len(self._quarantined)

    def status(self, fingerprint: int, now_s: float) -> RequestStatus:
        """Return what the request may do now."""
        self._remove_expired(now_s)
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
        """Return when a request that is held back may do better."""
        until_s = self._quarantined.get(fingerprint)
        return TRIAL_RETRY_AFTER_S if until_s is None else until_s - now_s

    def record_crash(
        self, endpoint: int, suspects: Iterable[int], now_s: float
    ) -> list[int]:
        """Note a crash; returns the suspects that were not known of it."""
        self._remove_expired(now_s)
        new = self.evidence.add(
            endpoint, [each for each in suspects if each not in self._cleared]
        )
        for fingerprint in new:
            self._update_suspicion(fingerprint, now_s)
        return new

    def _update_suspicion(self, fingerprint: int, now_s: float) -> None:
        """Suspect a request, or quarantine one that crashed the endpoint of its try."""
        trial = self._trials.get(fingerprint)
        if trial is not None:
            if self.evidence.was_in_flight_at(trial.endpoint, fingerprint):
                self._quarantine(fingerprint, now_s + QUARANTINE_DURATION_S)
            return
        crashes = self.evidence.crash_count(fingerprint)
        is_many = crashes >= MIN_CRASHES_TO_SUSPECT
        if is_many and not self.evidence.has_likelier_suspect(fingerprint):
            self.suspect(fingerprint)

    def _quarantine(self, fingerprint: int, until_s: float) -> None:
        self._trials.pop(fingerprint, None)
        self._quarantined[fingerprint] = until_s
        while len(self._quarantined) > MAX_ENTRIES:
            self._quarantined.popitem(last=False)

    def claim_trial(
        self, fingerprint: int, endpoint: int, claim: int, now_s: float
    ) -> RequestVerdict:
        """Claim the one try that a suspected request has; returns what to tell.

        Others may claim it at the same moment: it is had by who still has it once
        word of theirs would have come.
        """
        number = self._trials.get(fingerprint, RequestTrial()).number + 1
        trial = RequestTrial(number, endpoint, claim, now_s + TRIAL_TIMEOUT_S)
        self._set_trial(fingerprint, trial)
        return _trial_verdict(fingerprint, trial)

    def holds_trial(self, fingerprint: int, claim: int) -> bool:
        """Tell whether the try is still that of a claim."""
        trial = self._trials.get(fingerprint)
        return trial is not None and trial.claim == claim

    def suspect(self, fingerprint: int) -> None:
        """Hold a request back but for tries of one at a time."""
        if fingerprint not in self._trials and fingerprint not in self._quarantined:
            self._set_trial(fingerprint, RequestTrial())

    def _set_trial(self, fingerprint: int, trial: RequestTrial) -> None:
        self._trials[fingerprint] = trial
        while len(self._trials) > MAX_ENTRIES:
            self._trials.popitem(last=False)

    def clear(self, fingerprint: int, now_s: float) -> bool:
        """Note that the request was served; tells whether others should know."""
        held = self._trials.pop(fingerprint, None) is not None
        held = self._quarantined.pop(fingerprint, None) is not None or held
        matters = held or self.evidence.crash_count(fingerprint) > 1
        self.evidence.discard(fingerprint)
        if matters:
            self._record_cleared(fingerprint, now_s + CLEARED_RETENTION_S)
        return matters

    def apply(self, verdict: RequestVerdict, now_s: float) -> bool:
        """Take another gateway's word; tells whether it was news."""
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
        known = self._trials.get(verdict.fingerprint)
        if known is not None and _supersedes(known, verdict):
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
        """Return all that others should hold, too."""
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
        for ends in (self._cleared, self._quarantined):
            while ends and next(iter(ends.values())) <= now_s:
                ends.popitem(last=False)


def _trial_verdict(fingerprint: int, trial: RequestTrial) -> RequestVerdict:
    return RequestVerdict(
        fingerprint, TRIED, trial.number, trial.endpoint, claim=trial.claim
    )


def _supersedes(known: RequestTrial, told: RequestVerdict) -> bool:
    """Tell whether a trial is as good as another gateway's word, or better."""
    return known.number > told.trials or (
        known.number == told.trials and known.claim <= told.claim
    )
