"""Cold-start ramp: concurrency limit of a freshly started endpoint."""

from attrs import define, field

from acaciacove.decisions.ramp_settings import RampSettings
from acaciacove.fleet.version import Version
from acaciacove.messages.load import Load

MIN_BASELINE_SAMPLES = 20
BASELINE_SMOOTHING = 0.05


@define
class Ramp:
    """Cold-start limit of one endpoint.

    The limit starts at the version's declared cold capacity. It grows along a curve of
    time that stays below the capacity of a steadily warming endpoint, and no further
    than requests completed at good latency have earned.

    An endpoint may turn cold unannounced. The signs are a latency step, a gap between
    tokens, a changed restart count or its load report. Each of them restarts the ramp
    at once, since a cold endpoint collapses under the load of a warm one.
    """

    version: Version
    started_at_s: float
    warm: bool = False
    settings: RampSettings = RampSettings()
    _earned: float = field(init=False)
    _baseline_s: float = 0.0
    _samples: int = 0
    _bad_in_a_row: int = 0
    _restarts: int | None = None
    _fell_back_at_s: float = float("-inf")

    def __attrs_post_init__(self) -> None:
        """Initialise the earned limit with the cold capacity."""
        self._earned = float(self.version.cold_bears)

    def limit(self, now_s: float) -> int:
        """Return how many requests may run concurrently."""
        cold, warm = self.version.cold_bears, self.version.warm_bears
        if self.warm:
            return warm
        ramp_s = max(1e-9, self.settings.stretch * self.version.warm_up_s)
        elapsed_share = min(1.0, max(0.0, now_s - self.started_at_s) / ramp_s)
        time_limit = cold + (warm - cold) * elapsed_share**self.settings.power
        return max(1, int(min(time_limit, self._earned)))

    def finished(
        self,
        latency_s: float,
        ok: bool,
        now_s: float,
        started_at_s: float | None = None,
    ) -> None:
        """Count one finished request; ``latency_s`` is its time per token.

        A single slow or failed request may be due to the caller (a long prompt, a
        cancellation), several in a row are due to the endpoint. Requests that started
        before the last restart of the ramp are ignored.
        """
        if started_at_s is not None and started_at_s < self._fell_back_at_s:
            return
        if not ok or self._is_latency_step(latency_s):
            self._bad_in_a_row += 1
            if self._bad_in_a_row >= self.settings.bad_in_a_row:
                self.fall_back(now_s)
            return
        self._bad_in_a_row = 0
        self._update_baseline(latency_s)
        self._earned += self.settings.earned_per_request
        if not self.warm and self.limit(now_s) >= self.version.warm_bears:
            self.warm = True

    def observed_gap(self, gap_s: float, now_s: float) -> None:
        """Check how long running requests have waited for their next token.

        A thrashing endpoint may take minutes to complete a request. The gap between
        tokens shows it within a fraction of a second.
        """
        if gap_s > self.settings.gap_steps * self._effective_baseline_s(gap_s):
            self.fall_back(now_s)

    def reported(self, load: Load, restarts: int, now_s: float) -> None:
        """Check a load report of the endpoint and its restart count."""
        restarted = self._restarts is not None and restarts != self._restarts
        self._restarts = restarts
        if restarted or (load.cold and self.warm):
            self.fall_back(now_s)

    def fall_back(self, now_s: float) -> None:
        """Restart the ramp, as for a freshly started endpoint."""
        self.started_at_s = now_s
        self._fell_back_at_s = now_s
        self._earned = float(self.version.cold_bears)
        self._bad_in_a_row = 0
        self.warm = False

    def _is_latency_step(self, latency_s: float) -> bool:
        return latency_s > self.settings.latency_step * self._effective_baseline_s(
            latency_s
        )

    def _effective_baseline_s(self, default_s: float) -> float:
        """Return the baseline latency, at least ``least_usual_s``.

        ``default_s`` replaces the baseline below ``MIN_BASELINE_SAMPLES``.
        """
        has_baseline = self._samples >= MIN_BASELINE_SAMPLES
        baseline_s = self._baseline_s if has_baseline else default_s
        return max(baseline_s, self.settings.least_usual_s)

    def _update_baseline(self, latency_s: float) -> None:
        weight = max(BASELINE_SMOOTHING, 1.0 / (self._samples + 1))
        self._baseline_s += weight * (latency_s - self._baseline_s)
        self._samples += 1
