"""Prometheus metrics of a sidecar."""

from aioprometheus import Counter, Gauge, Registry
from attrs import define, field

from acaciacove.messages.load import Load
from acaciacove.refusal import Refusal


@define(eq=False)
class SidecarMetrics:
    """Counters by version and reason, and gauges of load and admission limit."""

    registry: Registry
    answers: Counter = field(init=False)
    refusals: Counter = field(init=False)
    tokens: Counter = field(init=False)
    in_flight: Gauge = field(init=False)
    queued: Gauge = field(init=False)
    limit: Gauge = field(init=False)
    cold: Gauge = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Register the metrics."""
        self.answers = Counter(
            "acaciacove_answers_total", "whole answers", registry=self.registry
        )
        self.refusals = Counter(
            "acaciacove_refusals_total", "refusals by reason", registry=self.registry
        )
        self.tokens = Counter(
            "acaciacove_tokens_total", "tokens relayed", registry=self.registry
        )
        self.in_flight = self._gauge("in_flight", "attempts at the endpoint")
        self.queued = self._gauge("queued", "attempts that wait for a place")
        self.limit = self._gauge("limit", "attempts that the endpoint bears")
        self.cold = self._gauge("cold", "1 while the endpoint is in cold start")

    def count_refusal(self, refusal: Refusal) -> None:
        """Count a refusal by its reason."""
        labels = {"reason": refusal.reason.value, "not_run": str(refusal.not_run)}
        self.refusals.inc(labels)

    def count_answer(self, version: str, tokens: int) -> None:
        """Count a complete answer and its tokens."""
        self.answers.inc({"version": version})
        self.tokens.add({"version": version}, tokens)

    def refresh(self, load: Load) -> None:
        """Set the gauges; called before the metrics are served."""
        self.in_flight.set({}, load.in_flight)
        self.queued.set({}, load.queued)
        self.limit.set({}, load.limit)
        self.cold.set({}, int(load.cold))

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(f"acaciacove_{name}", doc, registry=self.registry)
