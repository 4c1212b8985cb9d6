"""Metrics of every daemon."""

import resource

from aioprometheus import Gauge, Registry
from attrs import define, field

KIB = 1024


@define(eq=False)
class ProcessMetrics:
    """Current revision, control traffic, and resource usage of the process."""

    registry: Registry
    revision: Gauge = field(init=False)
    control_bytes: Gauge = field(init=False)
    cpu_s: Gauge = field(init=False)
    memory_bytes: Gauge = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Register the metrics."""
        self.revision = self._gauge("revision", "log offset of the state in force")
        self.control_bytes = self._gauge(
            "control_bytes", "bytes sent for digests, pulls and records"
        )
        self.cpu_s = self._gauge("cpu_seconds", "processor time of the process")
        self.memory_bytes = self._gauge("peak_memory_bytes", "peak resident memory")

    def refresh(self, revision: int, control_bytes: int) -> None:
        """Update the values; called before the metrics are served."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self.revision.set({}, revision)
        self.control_bytes.set({}, control_bytes)
        self.cpu_s.set({}, usage.ru_utime + usage.ru_stime)
        self.memory_bytes.set({}, usage.ru_maxrss * KIB)

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(f"acaciacove_{name}", doc, registry=self.registry)
