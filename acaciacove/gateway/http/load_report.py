"""Load that an endpoint reports with a response."""

from attrs import frozen


@frozen
class LoadReport:
    """Requests at an endpoint, and the pace of its machine.

    ``running`` and ``waiting`` count requests; ``slots`` is how many can run at once.
    ``pace`` is how long work takes on the machine now as a multiple of the usual time,
    or None if the endpoint does not report it.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None
