"""Adds up the calls of a load run."""

from collections import Counter

from attrs import define, field

from acaciacove.bench.call_failure import CallFailure
from acaciacove.bench.call_outcome import CallOutcome
from acaciacove.bench.caller import CHAT
from acaciacove.bench.load_report import LoadReport
from acaciacove.bench.quantiles import TimeSketch


@define
class LoadTally:
    """Counts and sketches; its size does not grow with the run."""

    started: int = 0
    whole: int = 0
    tokens: int = 0
    not_run: int = 0
    failures: Counter[str] = field(factory=Counter)
    refusals: Counter[str] = field(factory=Counter)
    whole_by_kind: Counter[str] = field(factory=Counter)
    chat: TimeSketch = field(factory=TimeSketch)
    service: TimeSketch = field(factory=TimeSketch)
    first_token: TimeSketch = field(factory=TimeSketch)
    between_tokens: TimeSketch = field(factory=TimeSketch)

    def add(self, outcome: CallOutcome) -> None:
        """Take in one outcome."""
        self.started += 1
        self.tokens += outcome.tokens
        if outcome.failure is not None:
            self._add_failure(outcome)
            return
        self.whole += 1
        self.whole_by_kind[outcome.kind] += 1
        times = self.chat if outcome.kind == CHAT else self.service
        times.add(outcome.whole_s)
        if outcome.first_token_s is not None:
            self.first_token.add(outcome.first_token_s)
        for gap_s in outcome.gaps_s:
            self.between_tokens.add(gap_s)

    def report(self, callers: int, seconds: float) -> LoadReport:
        """Sum up a run of so many seconds."""
        return LoadReport(
            callers=callers,
            seconds=round(seconds, 3),
            started=self.started,
            whole=self.whole,
            failures=dict(self.failures),
            refusals=dict(self.refusals),
            not_run=self.not_run,
            requests_per_s=round(self.whole / seconds, 1),
            tokens_per_s=round(self.tokens / seconds, 1),
            chat=self.chat.quantiles(),
            first_token=self.first_token.quantiles(),
            between_tokens=self.between_tokens.quantiles(),
            service=self.service.quantiles(),
            whole_by_kind=dict(self.whole_by_kind),
        )

    def _add_failure(self, outcome: CallOutcome) -> None:
        failure = outcome.failure or CallFailure.LOST
        self.failures[failure.value] += 1
        self.not_run += outcome.not_run
        if outcome.reason:
            self.refusals[outcome.reason] += 1
