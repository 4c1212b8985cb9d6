"""What one organisation has waiting and running at one sidecar."""

from collections import deque

from attrs import define, field

from acaciacove.decisions.waiting_item import WaitingItem

Waiting = tuple[float, WaitingItem]


@define
class Lane:
    """Waiting items with their start tags, per kind, and the last finish tag."""

    weight: float
    seen_at_s: float
    finish_tag: float = 0.0
    running: int = 0
    interactive: deque[Waiting] = field(factory=deque)
    batch: deque[Waiting] = field(factory=deque)

    def waiting(self, batch: bool) -> deque[Waiting]:
        """Return the queue of one kind."""
        return self.batch if batch else self.interactive

    @property
    def waiting_tag(self) -> float:
        """Return the least start tag that waits."""
        heads = [queue[0][0] for queue in (self.interactive, self.batch) if queue]
        return min(heads, default=float("inf"))

    @property
    def queued(self) -> int:
        """Count the waiting items of both kinds."""
        return len(self.interactive) + len(self.batch)

    @property
    def queued_tokens(self) -> float:
        """Sum the expected work of the waiting items."""
        return sum(
            item.cost_tokens
            for queue in (self.interactive, self.batch)
            for _, item in queue
        )
