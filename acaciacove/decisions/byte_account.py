"""The part of a byte budget that one holder uses."""

from acaciacove.decisions.byte_budget import ByteBudget


class ByteAccount:
    """Bytes held for one purpose, so that they can be released together."""

    def __init__(self, budget: ByteBudget | None = None) -> None:
        """Start with nothing held; without a budget, the bytes are not limited."""
        self.budget = budget or ByteBudget()
        self.held_bytes = 0

    def reserve(self, size_bytes: int) -> bool:
        """Hold more bytes; return False if they do not fit into the budget."""
        if not self.budget.reserve(size_bytes, self.held_bytes):
            return False
        self.held_bytes += size_bytes
        return True

    def set(self, held_bytes: int) -> None:
        """Hold exactly this many bytes, which have arrived already."""
        added_bytes = held_bytes - self.held_bytes
        self.held_bytes = held_bytes
        if added_bytes > 0:
            self.budget.hold(added_bytes)
        else:
            self.budget.release(-added_bytes)

    def clear(self) -> None:
        """Release everything."""
        self.set(0)

    def may_grow(self) -> bool:
        """Return whether the budget lets this holder take more."""
        return self.budget.may_grow(self.held_bytes)
