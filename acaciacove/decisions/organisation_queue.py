"""What one organisation has waiting and running at one sidecar."""

from collections import deque

from attrs import define, field

from acaciacove.decisions.waiting_item import WaitingItem

QueuedItem = tuple[WaitingItem, float]


@define
class OrganisationQueue:
    """Items with the time until which each waits, per kind, and the next start tag.

    Kinds are told by whether they are batch work; ``queued_tokens`` is per kind.
    """

    weight: float
    last_seen_s: float
    next_start_tag: float = 0.0
    running: int = 0
    queued_tokens: dict[bool, float] = field(factory=lambda: {False: 0.0, True: 0.0})
    interactive: deque[QueuedItem] = field(factory=deque)
    batch: deque[QueuedItem] = field(factory=deque)

    def waiting(self, batch: bool) -> deque[QueuedItem]:
        """Return the queue of one kind."""
        return self.batch if batch else self.interactive

    @property
    def queued(self) -> int:
        """Count the waiting items of both kinds."""
        return len(self.interactive) + len(self.batch)

    def append(self, item: WaitingItem, expires_at_s: float) -> None:
        """Add an item at the end; it waits until ``expires_at_s`` at most."""
        self.waiting(item.batch).append((item, expires_at_s))
        self.queued_tokens[item.batch] += item.cost_tokens

    def pop(self, batch: bool, newest: bool = False) -> WaitingItem:
        """Remove the oldest item of a kind, or the newest."""
        queue = self.waiting(batch)
        item, _ = queue.pop() if newest else queue.popleft()
        self.queued_tokens[batch] -= item.cost_tokens
        return item

    def expired(self, now_s: float) -> list[WaitingItem]:
        """List the items that have waited as long as they may."""
        both = (self.interactive, self.batch)
        return [
            item
            for queue in both
            for item, expires_at_s in queue
            if expires_at_s < now_s
        ]

    def remove(self, request_id: str) -> WaitingItem | None:
        """Remove an item by its request, wherever it waits."""
        for queue in (self.interactive, self.batch):
            for waiting in queue:
                if waiting[0].request_id == request_id:
                    queue.remove(waiting)
                    self.queued_tokens[waiting[0].batch] -= waiting[0].cost_tokens
                    return waiting[0]
        return None
