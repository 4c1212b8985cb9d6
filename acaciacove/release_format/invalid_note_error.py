"""The error raised for a release note that has faults."""

from acaciacove.errors import AcaciacoveError
from acaciacove.release_format.note_fault import NoteFault


class InvalidNoteError(AcaciacoveError):
    """A release note has faults; lists all of them with line and path."""

    def __init__(self, faults: list[NoteFault]) -> None:
        """Store the faults, which are in the order of the text."""
        super().__init__("; ".join(str(fault) for fault in faults))
        self.faults = faults
