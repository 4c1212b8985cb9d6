"""Collects the faults found while a release note is read."""

from attrs import define, field
from yaml import Node

from acaciacove.release_format.note_fault import NoteFault

FIRST_LINE = 1


def line_number(node: Node) -> int:
    """Return the line at which a node begins, counted from 1."""
    return int(node.start_mark.line) + FIRST_LINE


@define
class FaultList:
    """Collects faults, so that an operator sees all of them at once."""

    faults: list[NoteFault] = field(factory=list)

    def add(self, node: Node, path: str, message: str) -> None:
        """Add a fault at the line of a node."""
        self.faults.append(NoteFault(line_number(node), path, message))
