"""Error for a log from which the state in force cannot be derived."""

from acaciacove.errors import AcaciacoveError


class IncompleteLogError(AcaciacoveError):
    """Records have expired and no snapshot covers them."""

    def __init__(self, earliest_offset: int) -> None:
        """Store the first offset that can still be read."""
        super().__init__(
            f"the log has lost the records before offset {earliest_offset}, and no "
            "snapshot covers them; the state in force cannot be derived from it"
        )
        self.earliest_offset = earliest_offset
