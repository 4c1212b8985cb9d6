"""What ``status`` knows of one instance."""

from attrs import frozen


@frozen
class InstanceReport:
    """The platform's word on an instance, and its own.

    ``listed`` is the list's status. The rest is the instance's own: None where it
    did not answer, and ``fault`` says why. ``behind`` counts revisions that it has
    not folded yet; ``out`` tells that an operator took it or its zone out.
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
