"""Metrics of an entry."""

from aioprometheus import Counter, Gauge, Histogram, Registry
from attrs import define, field

from acaciacove.entry.answer_end import AnswerEnd
from acaciacove.entry.caller_request import CallerRequest
from acaciacove.refusal import Refusal

LATENCY_BUCKETS_S = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0, 60.0]


@define(eq=False)
class EntryMetrics:
    """Metrics of an entry by organisation, API and version."""

    registry: Registry
    requests: Counter = field(init=False)
    refusals: Counter = field(init=False)
    attempts: Counter = field(init=False)
    escalations: Counter = field(init=False)
    cost: Counter = field(init=False)
    tokens: Counter = field(init=False)
    stray_answers: Gauge = field(init=False)
    in_flight: Gauge = field(init=False)
    first_token_s: Histogram = field(init=False)
    answer_s: Histogram = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Register the metrics."""
        self.requests = self._counter("requests_total", "whole answers")
        self.refusals = self._counter("refusals_total", "refusals by reason")
        self.attempts = self._counter("attempts_total", "attempts at endpoints")
        self.escalations = self._counter("escalations_total", "answers judged short")
        self.cost = self._counter("cost_total", "cost of answers")
        self.tokens = self._counter("tokens_total", "tokens generated")
        self.stray_answers = Gauge(
            "acaciacove_stray_answers",
            "answers nobody waited for",
            registry=self.registry,
        )
        self.in_flight = Gauge(
            "acaciacove_in_flight", "requests being served", registry=self.registry
        )
        self.first_token_s = self._histogram("first_token_seconds", "to first piece")
        self.answer_s = self._histogram("answer_seconds", "to the whole answer")

    def count_refusal(self, refusal: Refusal) -> None:
        """Count a refusal by its reason."""
        labels = {"reason": refusal.reason.value, "not_run": str(refusal.not_run)}
        self.refusals.inc(labels)

    def count_answer(
        self, request: CallerRequest, end: AnswerEnd, latency_s: float
    ) -> None:
        """Count a complete answer."""
        labels = {
            "organisation": request.organisation.name,
            "api": request.api.name,
            "version": str(end.version),
        }
        self.requests.inc(labels)
        self.cost.add(labels, end.cost)
        self.tokens.add(labels, end.completion_tokens)
        self.answer_s.observe({"api": request.api.name}, latency_s)

    def count_first_chunk(self, request: CallerRequest, latency_s: float) -> None:
        """Record the time to the first chunk of an answer."""
        self.first_token_s.observe({"api": request.api.name}, latency_s)

    def set_in_flight(self, in_flight: int) -> None:
        """Set the number of requests that are being served."""
        self.in_flight.set({}, in_flight)

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(f"acaciacove_{name}", doc, registry=self.registry)

    def _histogram(self, name: str, doc: str) -> Histogram:
        return Histogram(
            f"acaciacove_{name}",
            doc,
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
