"""One instance of the fleet, as the platform's list names it."""

from attrs import frozen

from acaciacove.fleet.instance_status import InstanceStatus
from acaciacove.fleet.role import Role
from acaciacove.fleet.version_id import VersionId


@frozen
class Instance:
    """An entry, or an endpoint with its sidecar.

    ``host`` is an IP number; ``port`` is where its process listens for the
    system's own messages, ``http_port`` where it serves probes, metrics and status
    (0 when the list does not tell). ``incarnation`` grows with each start under one
    name (milliseconds of wall clock at the start). ``versions`` are those that an
    endpoint serves.
    """

    name: str
    role: Role
    region: str
    availability_zone: str
    host: str
    port: int
    incarnation: int = 0
    status: InstanceStatus = InstanceStatus.LIVE
    versions: tuple[VersionId, ...] = ()
    http_port: int = 0
