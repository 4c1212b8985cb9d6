"""What ``status`` knows of the fleet."""

from attrs import frozen

from acaciacove.cli.instance_report import InstanceReport


@frozen
class FleetReport:
    """The configuration in force and every instance on the platform's list.

    ``read_at`` is the wall clock of the reader, in UTC.
    """

    read_at: str
    revision: int
    release_revision: int
    availability_zones_out: tuple[str, ...]
    instances_out: tuple[str, ...]
    quarantined: tuple[str, ...]
    instances: tuple[InstanceReport, ...]
