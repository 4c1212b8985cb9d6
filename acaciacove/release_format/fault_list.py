"""The faults that were found so far."""

from attrs import define, field
from yaml import Node

from acaciacove.release_format.note_fault import NoteFault

FIRST_LINE = 1


def line_number(node: Node) -> int:
    """Return the line, from 1, at which a node begins."""
    return int(node.start_mark.line) + FIRST_LINE


@define
class FaultList:
    """Collects faults, so that an operator sees all of them in one go."""

    faults: list[NoteFault] = field(factory=list)

    def add(self, node: Node, path: str, message: str) -> None:
        """Add a fault at the place of a node."""
        self.faults.append(NoteFault(line_number(node), path, message))
