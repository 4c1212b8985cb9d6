"""A release note that is not taken."""

from acaciacove.errors import AcaciacoveError
from acaciacove.release_format.note_fault import NoteFault


class InvalidNoteError(AcaciacoveError):
    """A release note with faults, all of them listed with their places."""

    def __init__(self, faults: list[NoteFault]) -> None:
        """Keep every fault in the order of the text."""
        super().__init__("; ".join(str(fault) for fault in faults))
        self.faults = faults
