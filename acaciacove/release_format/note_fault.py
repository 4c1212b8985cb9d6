"""One fault in a release note, and its place."""

from attrs import frozen


@frozen
class NoteFault:
    """What is wrong, at which line (from 1) and under which path of keys.

    Line 0 stands for a fault that the text as a whole has.
    """

    line: int
    path: str
    message: str

    def __str__(self) -> str:
        """Write the fault as one line."""
        place = f"{self.path}: " if self.path else ""
        return f"line {self.line}: {place}{self.message}"


def text_position(fault: NoteFault) -> tuple[int, str]:
    """Order faults as they stand in the text."""
    return fault.line, fault.path
