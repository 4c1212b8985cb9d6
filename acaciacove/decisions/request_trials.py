"""The trials of requests that may crash endpoints, one at a time in the whole fleet."""

from collections import OrderedDict

from attrs import define, field

from acaciacove.decisions.request_trial import RequestTrial
from acaciacove.messages.request_verdict import TRIED, RequestVerdict

# How long a trial without a result blocks other trials.
TRIAL_TIMEOUT_S = 10.0
MAX_TRIED_REQUESTS = 1024


@define(eq=False)
class RequestTrials:
    """The last trial of each suspected request, or its suspicion alone."""

    _trials: OrderedDict[int, RequestTrial] = field(factory=OrderedDict)

    def __len__(self) -> int:
        """Return the number of suspected requests."""
        return len(self._trials)

    def __contains__(self, key: int) -> bool:
        """Return whether a request is suspected."""
        return key in self._trials

    def suspects(self) -> list[int]:
        """Return the suspected requests."""
        return list(self._trials)

    def get(self, key: int) -> RequestTrial | None:
        """Return the last trial of a request; None if it is not suspected."""
        return self._trials.get(key)

    def add(self, key: int) -> None:
        """Suspect a request that has had no trial; a known one is left as it is."""
        if key not in self._trials:
            self.set(key, RequestTrial())

    def set(self, key: int, trial: RequestTrial) -> None:
        """Record a trial; beyond ``MAX_TRIED_REQUESTS`` the oldest are forgotten."""
        self._trials[key] = trial
        while len(self._trials) > MAX_TRIED_REQUESTS:
            self._trials.popitem(last=False)

    def discard(self, key: int) -> bool:
        """Forget a request; returns whether it was suspected."""
        return self._trials.pop(key, None) is not None

    def claim(
        self, key: int, endpoint: int, claim: int, now_s: float
    ) -> RequestVerdict:
        """Claim the one trial of a suspected request; returns the verdict to gossip.

        Other gateways may claim it at the same time. The claimant must check ``holds``
        after the time in which competing claims arrive.
        """
        number = self._trials.get(key, RequestTrial()).number + 1
        trial = RequestTrial(number, endpoint, claim, now_s + TRIAL_TIMEOUT_S)
        self.set(key, trial)
        return _verdict(key, trial)

    def release(self, key: int, claim: int, now_s: float) -> RequestVerdict | None:
        """End a trial that gave no result; returns the verdict to gossip.

        Returns None if the trial has ended or belongs to another claim.
        """
        trial = self._trials.get(key)
        if trial is None or trial.claim != claim or trial.until_s <= now_s:
            return None
        released = RequestTrial(trial.number, until_s=now_s)
        self.set(key, released)
        return _verdict(key, released)

    def holds(self, key: int, claim: int) -> bool:
        """Return whether the trial still belongs to a claim."""
        trial = self._trials.get(key)
        return trial is not None and trial.claim == claim

    def apply(self, verdict: RequestVerdict, now_s: float) -> bool:
        """Apply another gateway's trial or suspicion; returns whether it was new."""
        local = self._trials.get(verdict.fingerprint)
        if local is not None and _supersedes(local, verdict):
            return False
        if not verdict.trials:
            self.add(verdict.fingerprint)
            return True
        is_released = not verdict.endpoint
        until_s = now_s if is_released else now_s + TRIAL_TIMEOUT_S
        trial = RequestTrial(verdict.trials, verdict.endpoint, verdict.claim, until_s)
        self.set(verdict.fingerprint, trial)
        return True

    def verdicts(self) -> list[RequestVerdict]:
        """Return all trials and suspicions, for peers."""
        return [_verdict(key, trial) for key, trial in self._trials.items()]


def _verdict(key: int, trial: RequestTrial) -> RequestVerdict:
    return RequestVerdict(key, TRIED, trial.number, trial.endpoint, claim=trial.claim)


def _supersedes(local: RequestTrial, received: RequestVerdict) -> bool:
    """Return whether a local trial takes precedence over a received one.

    The higher trial number wins, and the lower claim if the numbers are equal.
    """
    return local.number > received.trials or (
        local.number == received.trials and local.claim <= received.claim
    )
