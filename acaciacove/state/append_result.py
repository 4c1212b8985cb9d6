"""The result of one append."""

from attrs import frozen

from acaciacove.state.append_state import AppendState

NO_OFFSET = -1


@frozen
class AppendResult:
    """What became of one item; ``offset`` is that of the payload carrying it."""

    state: AppendState
    offset: int = NO_OFFSET

    @property
    def appended(self) -> bool:
        """Tell whether the item is known to be in the log."""
        return self.state is AppendState.APPENDED
