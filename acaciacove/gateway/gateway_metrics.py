"""Counts what a gateway does and renders the counts for a scraper."""

import asyncio
from collections import deque
from collections.abc import Callable
from importlib import import_module
from typing import Any

from acaciacove.gateway.metric import Metric

PREFIX = "acaciacove_gateway_"
# Covers latency targets of 0.15 to 2 s and time limits of up to 25 s.
BUCKETS_S = (0.025, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0)
# Counts kept until the library is loaded, a few seconds after the start.
MAX_PENDING_COUNTS = 20_000
# The library is loaded after the burst of requests that follows a start.
LOAD_DELAY_S = 2.0
Gauges = dict[tuple[str, str], dict[tuple[tuple[str, str], ...], float]]


class GatewayMetrics:
    """Counters and histograms by aioprometheus, which is loaded after the start.

    Its import takes a tenth of a second, which callers would have to wait at every
    restart. Until it is loaded, counts are kept and then replayed.
    """

    def __init__(self) -> None:
        """Start without the library."""
        self._pending: deque[tuple[Metric, tuple[str, ...], float]] = deque(
            maxlen=MAX_PENDING_COUNTS
        )
        self._metrics: dict[Metric, Any] = {}
        self._registry: Any = None
        self._library: Any = None

    def count(self, metric: Metric, *values: str, amount: float = 1.0) -> None:
        """Add to a metric; ``values`` are the values of its labels."""
        if self._registry is None:
            self._pending.append((metric, values, amount))
            return
        labels = dict(zip(metric.labels, values, strict=True))
        if metric.is_histogram:
            self._metrics[metric].observe(labels, amount)
        else:
            self._metrics[metric].add(labels, amount)

    async def load(self) -> None:
        """Load the library in a thread, so that requests are served meanwhile."""
        await asyncio.sleep(LOAD_DELAY_S)
        self._library = await asyncio.to_thread(import_module, "aioprometheus")
        await asyncio.to_thread(import_module, "aioprometheus.renderer")
        registry = self._library.Registry()
        for metric in Metric:
            name = PREFIX + metric.suffix
            if metric.is_histogram:
                created = self._library.Histogram(
                    name, metric.help, buckets=list(BUCKETS_S), registry=registry
                )
            else:
                created = self._library.Counter(name, metric.help, registry=registry)
            self._metrics[metric] = created
        self._registry = registry
        while self._pending:
            metric, values, amount = self._pending.popleft()
            self.count(metric, *values, amount=amount)

    def render(self, gauges: Callable[[], Gauges]) -> bytes:
        """Return the metrics as text, with the current values of ``gauges``."""
        if self._registry is None:
            return b"# starting\n"
        registry = self._library.Registry()
        for (suffix, help_text), values in gauges().items():
            gauge = self._library.Gauge(PREFIX + suffix, help_text, registry=registry)
            for labels, value in values.items():
                gauge.set(dict(labels), value)
        render = import_module("aioprometheus.renderer").render
        text: bytes = render(self._registry, ["text/plain"])[0]
        now: bytes = render(registry, ["text/plain"])[0]
        return text + now
