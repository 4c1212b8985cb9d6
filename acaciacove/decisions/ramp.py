"""How many requests a freshly started endpoint is given."""

from attrs import define, field

from acaciacove.fleet.version import Version
from acaciacove.messages.load import Load

LATENCY_STEP = 2.0
BASELINE_SMOOTHING = 0.05
MIN_BASELINE_SAMPLES = 20


@define
class Ramp:
    """The cold-start limit of one endpoint.

    The limit starts at what the version is declared to bear cold and grows with
    time and with completed work at good latency. An endpoint that turns cold without
    a word shows it by a latency step, a changed restart count, or its load report;
    each puts the limit back at once, since a cold endpoint falls over under the
    load that a warm one bears.
    """

    version: Version
    started_at_s: float
    warm: bool = False
    _progress_s: float = 0.0
    _last_at_s: float = field(init=False)
    _baseline_s: float = 0.0
    _samples: int = 0
    _restarts: int | None = None

    def __attrs_post_init__(self) -> None:
        """Count from the start."""
        self._last_at_s = self.started_at_s

    def limit(self, now_s: float) -> int:
        """Return how many requests may run at once."""
        cold, warm = self.version.cold_bears, self.version.warm_bears
        if self.warm:
            return warm
        share = min(1.0, self._progress_s / max(1e-9, self.version.warm_up_s))
        return cold + int((warm - cold) * share)

    def finished(self, latency_s: float, ok: bool, now_s: float) -> None:
        """Count one completed request; ``latency_s`` is the first token's."""
        if self._is_step(latency_s, ok):
            self.fall_back(now_s)
            return
        if ok:
            self._learn(latency_s)
            self._progress_s += max(0.0, now_s - self._last_at_s)
        self._last_at_s = now_s
        if self._progress_s >= self.version.warm_up_s:
            self.warm = True

    def reported(self, load: Load, restarts: int, now_s: float) -> None:
        """Take in a load report of the endpoint and its restart count."""
        restarted = self._restarts is not None and restarts != self._restarts
        self._restarts = restarts
        if restarted or (load.cold and self.warm):
            self.fall_back(now_s)

    def fall_back(self, now_s: float) -> None:
        """Treat the endpoint as freshly started."""
        self.started_at_s = now_s
        self._last_at_s = now_s
        self._progress_s = 0.0
        self.warm = False

    def _is_step(self, latency_s: float, ok: bool) -> bool:
        if not self.warm or self._samples < MIN_BASELINE_SAMPLES:
            return False
        return not ok or latency_s > LATENCY_STEP * self._baseline_s

    def _learn(self, latency_s: float) -> None:
        weight = max(BASELINE_SMOOTHING, 1.0 / (self._samples + 1))
        self._baseline_s += weight * (latency_s - self._baseline_s)
        self._samples += 1
