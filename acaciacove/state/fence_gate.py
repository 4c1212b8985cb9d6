"""Refuses orders to an engine that newer decisions have overtaken."""

from collections.abc import Callable

from acaciacove.reason import Reason
from acaciacove.refusal import Refusal

NO_FENCE = -1


class FenceGate:
    """Stands before one engine, in its sidecar; no other way leads to the engine.

    An order carries the log offset of the record that decided it. Engines that
    ignore the number would obey a process that was paused before that record was
    overtaken, and load what was withdrawn since. ``release_offset`` returns the
    offset of the release in force, so that a sidecar that has just started refuses
    old orders as well, before it has seen any newer one.
    """

    def __init__(self, release_offset: Callable[[], int]) -> None:
        """Start without having seen an order."""
        self._release_offset = release_offset
        self._highest_fence = NO_FENCE
        self.refused_orders = 0

    @property
    def fence(self) -> int:
        """Return the lowest number that an order may carry now."""
        return max(self._highest_fence, self._release_offset())

    def admit(self, fence: int) -> Refusal | None:
        """Take an order's number in; a refusal says that it must not be given."""
        lowest = self.fence
        if fence < lowest:
            self.refused_orders += 1
            detail = f"decided at {fence}, overtaken at {lowest}"
            return Refusal(Reason.STALE_FENCE, True, detail)
        self._highest_fence = fence
        return None
