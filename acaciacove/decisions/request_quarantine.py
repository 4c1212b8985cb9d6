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
from acaciacove.decisions.request_standing import RequestStanding
from acaciacove.decisions.trial_of_request import TrialOfRequest
from acaciacove.messages.request_verdict import (
    CLEARED,
    QUARANTINED,
    TRIED,
    RequestVerdict,
)

SUSPICIOUS_CRASHES = 3
# Tries of a suspected request, in case that one has no clear end.
MAX_TRIALS = 2
# How long others wait for the end of a try.
TRIAL_S = 10.0
# When the end of another's try is likely known.
TRIAL_ENDS_S = 1.0
QUARANTINE_S = 86_400.0
# Gateways that have not heard of it may still tell old crashes of a cleared request.
CLEARED_S = 60.0
MAX_HELD = 1024


@define(eq=False)
class RequestQuarantine:
    """What one gateway knows of requests that may crash endpoints.

    All gateways that have been told the same hold the same; times are of the
    caller's clock.
    """

    evidence: CrashEvidence = field(factory=CrashEvidence)
    _trials: OrderedDict[int, TrialOfRequest] = field(factory=OrderedDict)
    _quarantined: OrderedDict[int, float] = field(factory=OrderedDict)
    _cleared: OrderedDict[int, float] = field(factory=OrderedDict)

    @property
    def is_empty(self) -> bool:
        """Tell whether there is no request to hold back or to clear."""
        return not (self.evidence or self._trials or self._quarantined)

    @property
    def held(self) -> int:
        """How many requests are in quarantine."""
        return len(self._quarantined)

    def standing(self, fingerprint: int, now_s: float) -> RequestStanding:
        """Return what the request may do now."""
        self._forget_old(now_s)
        if fingerprint in self._quarantined:
            return RequestStanding.QUARANTINED
        trial = self._trials.get(fingerprint)
        if trial is None:
            return RequestStanding.FREE
        if trial.until_s > now_s:
            return RequestStanding.WAITING
        if trial.number < MAX_TRIALS:
            return RequestStanding.TRIAL
        self._hold(fingerprint, now_s + QUARANTINE_S)
        return RequestStanding.QUARANTINED

    def retry_after_s(self, fingerprint: int, now_s: float) -> float:
        """Return when a request that is held back may do better."""
        until_s = self._quarantined.get(fingerprint)
        return TRIAL_ENDS_S if until_s is None else until_s - now_s

    def note_crash(
        self, endpoint: int, suspects: Iterable[int], now_s: float
    ) -> list[int]:
        """Note a crash; returns the suspects that were not known of it."""
        self._forget_old(now_s)
        new = self.evidence.add(
            endpoint, [each for each in suspects if each not in self._cleared]
        )
        for fingerprint in new:
            self._judge(fingerprint, now_s)
        return new

    def _judge(self, fingerprint: int, now_s: float) -> None:
        """Suspect a request, or quarantine one that crashed the endpoint of its try."""
        trial = self._trials.get(fingerprint)
        if trial is not None:
            if self.evidence.was_at(trial.endpoint, fingerprint):
                self._hold(fingerprint, now_s + QUARANTINE_S)
            return
        crashes = self.evidence.crashes_under(fingerprint)
        is_many = crashes >= SUSPICIOUS_CRASHES
        if is_many and not self.evidence.is_explained(fingerprint):
            self.suspect(fingerprint)

    def _hold(self, fingerprint: int, until_s: float) -> None:
        self._trials.pop(fingerprint, None)
        self._quarantined[fingerprint] = until_s
        while len(self._quarantined) > MAX_HELD:
            self._quarantined.popitem(last=False)

    def claim_trial(
        self, fingerprint: int, endpoint: int, claim: int, now_s: float
    ) -> RequestVerdict:
        """Claim the one try that a suspected request has; returns what to tell.

        Others may claim it at the same moment: it is had by who still has it once
        word of theirs would have come.
        """
        number = self._trials.get(fingerprint, TrialOfRequest()).number + 1
        trial = TrialOfRequest(number, endpoint, claim, now_s + TRIAL_S)
        self._try(fingerprint, trial)
        return _verdict_of(fingerprint, trial)

    def has_trial(self, fingerprint: int, claim: int) -> bool:
        """Tell whether the try is still that of a claim."""
        trial = self._trials.get(fingerprint)
        return trial is not None and trial.claim == claim

    def suspect(self, fingerprint: int) -> None:
        """Hold a request back but for tries of one at a time."""
        if fingerprint not in self._trials and fingerprint not in self._quarantined:
            self._try(fingerprint, TrialOfRequest())

    def _try(self, fingerprint: int, trial: TrialOfRequest) -> None:
        self._trials[fingerprint] = trial
        while len(self._trials) > MAX_HELD:
            self._trials.popitem(last=False)

    def clear(self, fingerprint: int, now_s: float) -> bool:
        """Note that the request was served; tells whether others should know."""
        held = self._trials.pop(fingerprint, None) is not None
        held = self._quarantined.pop(fingerprint, None) is not None or held
        matters = held or self.evidence.crashes_under(fingerprint) > 1
        self.evidence.forget(fingerprint)
        if matters:
            self._note_cleared(fingerprint, now_s + CLEARED_S)
        return matters

    def take(self, verdict: RequestVerdict, now_s: float) -> bool:
        """Take another gateway's word; tells whether it was news."""
        self._forget_old(now_s)
        fingerprint = verdict.fingerprint
        if fingerprint in self._cleared:
            return False
        if verdict.kind == CLEARED:
            return self._take_cleared(verdict, now_s)
        if fingerprint in self._quarantined:
            return False
        if verdict.kind == QUARANTINED:
            self._hold(fingerprint, now_s + min(verdict.left_s, QUARANTINE_S))
            return True
        return self._take_trial(verdict, now_s)

    def _take_cleared(self, verdict: RequestVerdict, now_s: float) -> bool:
        if verdict.left_s <= 0:
            return False
        self.clear(verdict.fingerprint, now_s)
        until_s = now_s + min(verdict.left_s, CLEARED_S)
        self._note_cleared(verdict.fingerprint, until_s)
        return True

    def _note_cleared(self, fingerprint: int, until_s: float) -> None:
        self._cleared[fingerprint] = until_s
        while len(self._cleared) > MAX_HELD:
            self._cleared.popitem(last=False)

    def _take_trial(self, verdict: RequestVerdict, now_s: float) -> bool:
        known = self._trials.get(verdict.fingerprint)
        if known is not None and _is_ahead(known, verdict):
            return False
        if not verdict.trials:
            self.suspect(verdict.fingerprint)
            return True
        trial = TrialOfRequest(
            verdict.trials, verdict.endpoint, verdict.claim, now_s + TRIAL_S
        )
        self._try(verdict.fingerprint, trial)
        self._judge(verdict.fingerprint, now_s)
        return True

    def verdicts(self, now_s: float) -> list[RequestVerdict]:
        """Return all that others should hold, too."""
        self._forget_old(now_s)
        found = [
            RequestVerdict(each, QUARANTINED, left_s=until_s - now_s)
            for each, until_s in self._quarantined.items()
        ]
        found += [_verdict_of(each, trial) for each, trial in self._trials.items()]
        return found + [
            RequestVerdict(each, CLEARED, left_s=until_s - now_s)
            for each, until_s in self._cleared.items()
        ]

    def _forget_old(self, now_s: float) -> None:
        for ends in (self._cleared, self._quarantined):
            while ends and next(iter(ends.values())) <= now_s:
                ends.popitem(last=False)


def _verdict_of(fingerprint: int, trial: TrialOfRequest) -> RequestVerdict:
    return RequestVerdict(
        fingerprint, TRIED, trial.number, trial.endpoint, claim=trial.claim
    )


def _is_ahead(known: TrialOfRequest, told: RequestVerdict) -> bool:
    """Tell whether a trial is as good as another gateway's word, or better."""
    return known.number > told.trials or (
        known.number == told.trials and known.claim <= told.claim
    )
