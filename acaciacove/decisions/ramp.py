"""How many requests a freshly started endpoint is given."""

from attrs import define, field

from acaciacove.decisions.ramp_settings import RampSettings
from acaciacove.fleet.version import Version
from acaciacove.messages.load import Load

MIN_BASELINE_SAMPLES = 20
BASELINE_SMOOTHING = 0.05


@define
class Ramp:
    """The cold-start limit of one endpoint.

    The limit starts at what the version is declared to bear cold. It grows along a
    curve of time that stays below what a steadily warming endpoint bears, and only
    as far as completed work at good latency has earned. An endpoint that turns cold
    without a word shows it by a latency step, by tokens that stop coming, by a
    changed restart count or its load report; each puts the limit back at once, since
    a cold endpoint falls over under the load that a warm one bears.
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
        """Begin with what is borne cold."""
        self._earned = float(self.version.cold_bears)

    def limit(self, now_s: float) -> int:
        """Return how many requests may run at once."""
        cold, warm = self.version.cold_bears, self.version.warm_bears
        if self.warm:
            return warm
        lasts_s = max(1e-9, self.settings.stretch * self.version.warm_up_s)
        passed = min(1.0, max(0.0, now_s - self.started_at_s) / lasts_s)
        by_time = cold + (warm - cold) * passed**self.settings.power
        return max(1, int(min(by_time, self._earned)))

    def finished(
        self,
        latency_s: float,
        ok: bool,
        now_s: float,
        started_at_s: float | None = None,
    ) -> None:
        """Count one ended request; ``latency_s`` is its time per token.

        One slow or failed request may be the caller's doing (a long prompt, a
        cancellation), several in a row are the endpoint's. Requests that started
        before the last fall-back say nothing new.
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
        """Take in how long running requests have waited for their next token.

        An endpoint that thrashes may take minutes to complete anything; the gap
        between tokens tells within a fraction of a second.
        """
        if gap_s > self.settings.gap_steps * self._effective_baseline_s(gap_s):
            self.fall_back(now_s)

    def reported(self, load: Load, restarts: int, now_s: float) -> None:
        """Take in a load report of the endpoint and its restart count."""
        restarted = self._restarts is not None and restarts != self._restarts
        self._restarts = restarts
        if restarted or (load.cold and self.warm):
            self.fall_back(now_s)

    def fall_back(self, now_s: float) -> None:
        """Treat the endpoint as freshly started."""
        self.started_at_s = now_s
        self._fell_back_at_s = now_s
        self._earned = float(self.version.cold_bears)
        self._bad_in_a_row = 0
        self.warm = False

    def _is_latency_step(self, latency_s: float) -> bool:
        return latency_s > self.settings.latency_step * self._effective_baseline_s(
            latency_s
        )

    def _effective_baseline_s(self, unknown_s: float) -> float:
        """Return the usual latency, or the given one while too little is known."""
        known = self._samples >= MIN_BASELINE_SAMPLES
        usual_s = self._baseline_s if known else unknown_s
        return max(usual_s, self.settings.least_usual_s)

    def _update_baseline(self, latency_s: float) -> None:
        weight = max(BASELINE_SMOOTHING, 1.0 / (self._samples + 1))
        self._baseline_s += weight * (latency_s - self._baseline_s)
        self._samples += 1
