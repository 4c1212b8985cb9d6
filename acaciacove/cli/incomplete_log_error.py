"""A log that no longer tells what is in force."""

from acaciacove.errors import AcaciacoveError


class IncompleteLogError(AcaciacoveError):
    """Records have expired, and no snapshot covers them."""

    def __init__(self, earliest_offset: int) -> None:
        """Keep the first offset that can still be read."""
        super().__init__(
            f"the log has lost the records before offset {earliest_offset}, and no "
            "snapshot covers them; what is in force cannot be told from it"
        )
        self.earliest_offset = earliest_offset
