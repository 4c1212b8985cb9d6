"""Refuses orders to an engine that a newer decision has superseded."""

from collections.abc import Callable

from acaciacove.reason import Reason
from acaciacove.refusal import Refusal

NO_FENCE = -1


class FenceGate:
    """Checks the fencing token of every order to one engine, in the engine's sidecar.

    The fencing token of an order is the log offset of the record that caused it.
    Some engines ignore it. Without this gate, they would execute the order of a
    process that was paused and does not know of newer records, and load a version
    that has been withdrawn. ``release_offset`` returns the offset of the release in
    force, so that a sidecar that has just started also refuses older orders before it
    has received a newer one.
    """

    def __init__(self, release_offset: Callable[[], int]) -> None:
        """Start without any received order."""
        self._release_offset = release_offset
        self._highest_fence = NO_FENCE
        self.refused_orders = 0

    @property
    def fence(self) -> int:
        """Return the lowest fencing token that is accepted now."""
        return max(self._highest_fence, self._release_offset())

    def admit(self, fence: int) -> Refusal | None:
        """Check an order's fencing token; return a refusal if it is too old."""
        lowest = self.fence
        if fence < lowest:
            self.refused_orders += 1
            detail = f"decided at {fence}, overtaken at {lowest}"
            return Refusal(Reason.STALE_FENCE, True, detail)
        self._highest_fence = fence
        return None
