"""Sidecar's copy of a billing record that its entry is expected to append."""

from attrs import define


@define(eq=False)
class UnconfirmedCopy:
    """The holder appends the copy itself at ``due_s`` unless the entry confirms it.

    ``entry`` is the process that is expected to append the record, ``due_s`` a time
    of the event loop.
    """

    entry: str
    due_s: float
