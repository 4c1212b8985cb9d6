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
from acaciacove.decisions.request_standing import RequestStanding
from acaciacove.decisions.trial_of_request import TrialOfRequest
from acaciacove.messages.request_verdict import (
    CLEARED,
    QUARANTINED,
    TRIED,
    RequestVerdict,
)

SUSPICIOUS_CRASHES = 3
# Trials of a suspected request, as one may end without a clear result.
MAX_TRIALS = 2
# How long a trial without a result blocks other trials.
TRIAL_S = 10.0
# Retry-After during a trial; its result is usually known by then.
TRIAL_ENDS_S = 1.0
QUARANTINE_S = 86_400.0
# Gateways that have not yet received the clearance may still report old crashes of a
# cleared request.
CLEARED_S = 60.0
MAX_HELD = 1024


@define(eq=False)
class RequestQuarantine:
    """One gateway's view of the requests that may crash endpoints.

    Gateways that have received the same updates have the same view. Times are on the
    clock of the caller.
    """

    evidence: CrashEvidence = field(factory=CrashEvidence)
    _trials: OrderedDict[int, TrialOfRequest] = field(factory=OrderedDict)
    _quarantined: OrderedDict[int, float] = field(factory=OrderedDict)
    _cleared: OrderedDict[int, float] = field(factory=OrderedDict)

    @property
    def is_empty(self) -> bool:
        """Return whether there is no request to quarantine or to clear."""
        return not (self.evidence or self._trials or self._quarantined)

    @property
    def held(self) -> int:
        """Number of quarantined requests."""
        return len(self._quarantined)

    def standing(self, fingerprint: int, now_s: float) -> RequestStanding:
        """Return whether the request may be sent now."""
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
        """Return the seconds until a refused request should be retried."""
        until_s = self._quarantined.get(fingerprint)
        return TRIAL_ENDS_S if until_s is None else until_s - now_s

    def note_crash(
        self, endpoint: int, suspects: Iterable[int], now_s: float
    ) -> list[int]:
        """Record a crash; returns the suspects that are new for it."""
        self._forget_old(now_s)
        new = self.evidence.add(
            endpoint, [each for each in suspects if each not in self._cleared]
        )
        for fingerprint in new:
            self._judge(fingerprint, now_s)
        return new

    def _judge(self, fingerprint: int, now_s: float) -> None:
        """Suspect a request, or quarantine it if it crashed its trial endpoint."""
        trial = self._trials.get(fingerprint)
        if trial is not None:
            if self.evidence.was_at(trial.endpoint, fingerprint):
                self._hold(fingerprint, now_s + QUARANTINE_S)
            return
        crashes = self.evidence.crashes_under(fingerprint)
        has_enough_crashes = crashes >= SUSPICIOUS_CRASHES
        if has_enough_crashes and not self.evidence.is_explained(fingerprint):
            self.suspect(fingerprint)

    def _hold(self, fingerprint: int, until_s: float) -> None:
        self._trials.pop(fingerprint, None)
        self._quarantined[fingerprint] = until_s
        while len(self._quarantined) > MAX_HELD:
            self._quarantined.popitem(last=False)

    def claim_trial(
        self, fingerprint: int, endpoint: int, claim: int, now_s: float
    ) -> RequestVerdict:
        """Claim the one trial of a suspected request; returns the verdict to gossip.

        Other gateways may claim it at the same time. The claimant must check
        ``holds_trial`` after the time in which competing claims arrive.
        """
        number = self._trials.get(fingerprint, TrialOfRequest()).number + 1
        trial = TrialOfRequest(number, endpoint, claim, now_s + TRIAL_S)
        self._try(fingerprint, trial)
        return _verdict_of(fingerprint, trial)

    def has_trial(self, fingerprint: int, claim: int) -> bool:
        """Return whether the trial still belongs to a claim."""
        trial = self._trials.get(fingerprint)
        return trial is not None and trial.claim == claim

    def suspect(self, fingerprint: int) -> None:
        """Refuse a request from now on, except for one trial at a time."""
        if fingerprint not in self._trials and fingerprint not in self._quarantined:
            self._try(fingerprint, TrialOfRequest())

    def _try(self, fingerprint: int, trial: TrialOfRequest) -> None:
        self._trials[fingerprint] = trial
        while len(self._trials) > MAX_HELD:
            self._trials.popitem(last=False)

    def clear(self, fingerprint: int, now_s: float) -> bool:
        """Record that a request was served; returns whether peers need an update."""
        was_restricted = self._trials.pop(fingerprint, None) is not None
        was_restricted = (
            self._quarantined.pop(fingerprint, None) is not None or was_restricted
        )
        is_relevant = was_restricted or self.evidence.crashes_under(fingerprint) > 1
        self.evidence.forget(fingerprint)
        if is_relevant:
            self._note_cleared(fingerprint, now_s + CLEARED_S)
        return is_relevant

    def take(self, verdict: RequestVerdict, now_s: float) -> bool:
        """Apply a verdict of another gateway; returns whether it was new."""
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
        local = self._trials.get(verdict.fingerprint)
        if local is not None and _is_ahead(local, verdict):
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
        """Return all verdicts that peers should have as well."""
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
        for expiries in (self._cleared, self._quarantined):
            while expiries and next(iter(expiries.values())) <= now_s:
                expiries.popitem(last=False)


def _verdict_of(fingerprint: int, trial: TrialOfRequest) -> RequestVerdict:
    return RequestVerdict(
        fingerprint, TRIED, trial.number, trial.endpoint, claim=trial.claim
    )


def _is_ahead(local: TrialOfRequest, received: RequestVerdict) -> bool:
    """Return whether a local trial takes precedence over a received one.

    The higher trial number wins, and the lower claim if the numbers are equal.
    """
    return local.number > received.trials or (
        local.number == received.trials and local.claim <= received.claim
    )
