"""Keeps a process that was paused from deciding on what it knew before."""

from attrs import define

PAUSE_S = 1.5
SETTLE_S = 0.3


@define
class WakeGuard:
    """Notices a pause by the gap between ticks of a periodic task.

    A process can be stopped for minutes, by its machine or by an operator, and go
    on in the middle of a decision. Releases and decisions of that time are unknown
    to it, and its socket buffers are full of old messages. Nothing may be decided
    after waking until the revision was confirmed by something that was received
    after those buffers were emptied, ``settle_s`` later.
    """

    pause_s: float = PAUSE_S
    settle_s: float = SETTLE_S
    pauses: int = 0
    _ticked_s: float | None = None
    _woke_s: float | None = None

    def tick(self, now_s: float) -> None:
        """Call this from a task that runs several times a second."""
        self._notice(now_s)
        self._ticked_s = now_s

    def confirmed(self, now_s: float) -> None:
        """Learn that the log or a peer holds no later revision than this process."""
        self._notice(now_s)
        if self._woke_s is not None and now_s - self._woke_s >= self.settle_s:
            self._woke_s = None

    def may_trust(self, started_s: float, now_s: float) -> bool:
        """Tell whether an answer to what was asked at ``started_s`` is new enough."""
        self._notice(now_s)
        return self._woke_s is None or started_s >= self._woke_s

    def may_decide(self, now_s: float) -> bool:
        """Tell whether what this process holds can be relied on now."""
        self._notice(now_s)
        return self._woke_s is None

    def _notice(self, now_s: float) -> None:
        if self._ticked_s is None or now_s - self._ticked_s < self.pause_s:
            return
        self.pauses += 1
        self._woke_s = now_s
        self._ticked_s = now_s
