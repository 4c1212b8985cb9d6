"""One fault in a release note, with its line and path."""

from attrs import frozen


@frozen
class NoteFault:
    """A fault message with its line, counted from 1, and its path of keys.

    Line 0 means that the fault concerns the entire text.
    """

    line: int
    path: str
    message: str

    def __str__(self) -> str:
        """Format the fault as one line."""
        place = f"{self.path}: " if self.path else ""
        return f"line {self.line}: {place}{self.message}"


def text_position(fault: NoteFault) -> tuple[int, str]:
    """Return a key that sorts faults by their position in the text."""
    return fault.line, fault.path
