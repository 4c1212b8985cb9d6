"""What one organisation has waiting and running at one sidecar."""

from collections import deque

from attrs import define, field

from acaciacove.decisions.waiting_item import WaitingItem

Waiting = tuple[float, WaitingItem]


@define
class Lane:
    """Waiting items with their start tags, per kind, and the last finish tag.

    Kinds are told by whether they are batch work; ``queued_tokens`` is per kind.
    """

    weight: float
    seen_at_s: float
    finish_tag: float = 0.0
    running: int = 0
    queued_tokens: dict[bool, float] = field(factory=lambda: {False: 0.0, True: 0.0})
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

    def enter(self, start_tag: float, item: WaitingItem) -> None:
        """Add an item at the end."""
        self.waiting(item.batch).append((start_tag, item))
        self.queued_tokens[item.batch] += item.cost_tokens

    def take(self, batch: bool, newest: bool = False) -> Waiting:
        """Remove the oldest item of a kind, or the newest."""
        queue = self.waiting(batch)
        start_tag, item = queue.pop() if newest else queue.popleft()
        self.queued_tokens[batch] -= item.cost_tokens
        return start_tag, item

    def remove(self, request_id: str) -> WaitingItem | None:
        """Remove an item by its request, wherever it waits."""
        for queue in (self.interactive, self.batch):
            for waiting in queue:
                if waiting[1].request_id == request_id:
                    queue.remove(waiting)
                    self.queued_tokens[waiting[1].batch] -= waiting[1].cost_tokens
                    return waiting[1]
        return None
