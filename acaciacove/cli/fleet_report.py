"""Report on the fleet, printed by ``acaciacove status``."""

from attrs import frozen

from acaciacove.cli.instance_report import InstanceReport


@frozen
class FleetReport:
    """The configuration in force and all instances in the platform's instance list.

    ``read_at`` is the wall-clock time of the command, in UTC.
    """

    read_at: str
    revision: int
    release_revision: int
    availability_zones_out: tuple[str, ...]
    instances_out: tuple[str, ...]
    quarantined: tuple[str, ...]
    instances: tuple[InstanceReport, ...]
