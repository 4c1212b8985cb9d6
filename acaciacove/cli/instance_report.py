"""Report on one instance, printed by ``acaciacove status``."""

from attrs import frozen


@frozen
class InstanceReport:
    """An instance as the instance list has it, and the status that it returned.

    ``listed`` is its status in the instance list. ``out`` is true if an operator
    took out the instance or its availability zone. ``versions`` come from the list.
    The fields from ``state`` to ``cold`` come from the instance; they are None if
    no valid answer came, and ``fault`` says why. ``behind`` counts the revisions
    that the instance has not folded yet.
    """

    name: str
    role: str
    availability_zone: str
    listed: str
    out: bool
    versions: tuple[str, ...] = ()
    state: str | None = None
    revision: int | None = None
    behind: int | None = None
    in_flight: int | None = None
    limit: int | None = None
    cold: bool | None = None
    fault: str = ""
