"""The result of one append."""

from attrs import frozen

from acaciacove.state.append_state import AppendState

NO_OFFSET = -1


@frozen
class AppendResult:
    """Outcome for one item; ``offset`` is that of the payload with the item."""

    state: AppendState
    offset: int = NO_OFFSET

    @property
    def appended(self) -> bool:
        """Return whether the item is known to be in the log."""
        return self.state is AppendState.APPENDED
