"""A sidecar's copy of a billing record that its entry is expected to append."""

from attrs import define


@define(eq=False)
class UnconfirmedCopy:
    """Becomes one's own to append at ``due_s`` (the loop's time) unless confirmed.

    ``entry`` is the process expected to append it.
    """

    entry: str
    due_s: float
