"""Prevents decisions on stale state after a process was paused."""

from attrs import define

MIN_PAUSE_S = 1.5
SETTLING_PERIOD_S = 0.3


@define
class PauseDetector:
    """Detects a pause by the gap between ticks of a periodic task.

    A process can be stopped for minutes, by its machine or by an operator, and resume
    in the middle of a decision. It does not know of the releases and decisions of that
    time, and its socket buffers are full of old messages. It may not decide until its
    revision is confirmed at least ``settling_period_s`` after it resumed, when those
    buffers have been emptied.
    """

    min_pause_s: float = MIN_PAUSE_S
    settling_period_s: float = SETTLING_PERIOD_S
    pauses: int = 0
    _last_tick_s: float | None = None
    _resumed_s: float | None = None

    def tick(self, now_s: float) -> None:
        """Record a tick; a task calls this several times a second."""
        self._detect(now_s)
        self._last_tick_s = now_s

    def confirm_up_to_date(self, now_s: float) -> None:
        """Record that the log or a peer has no later revision than this process."""
        self._detect(now_s)
        if (
            self._resumed_s is not None
            and now_s - self._resumed_s >= self.settling_period_s
        ):
            self._resumed_s = None

    def started_since_pause(self, started_s: float, now_s: float) -> bool:
        """Return whether a read started at ``started_s`` began after the last pause."""
        self._detect(now_s)
        return self._resumed_s is None or started_s >= self._resumed_s

    def may_decide(self, now_s: float) -> bool:
        """Return whether this process may decide, since its state is not stale."""
        self._detect(now_s)
        return self._resumed_s is None

    def _detect(self, now_s: float) -> None:
        if self._last_tick_s is None or now_s - self._last_tick_s < self.min_pause_s:
            return
        self.pauses += 1
        self._resumed_s = now_s
        self._last_tick_s = now_s
