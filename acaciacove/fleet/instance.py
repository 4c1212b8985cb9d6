"""One instance of the fleet, as in the platform's instance list."""

from attrs import frozen

from acaciacove.fleet.instance_status import InstanceStatus
from acaciacove.fleet.role import Role
from acaciacove.fleet.version_id import VersionId


@frozen
class Instance:
    """An entry, or an endpoint with its sidecar.

    ``host`` is an IP address. The process listens on ``port`` for messages between
    processes, and on ``http_port`` for probes, metrics and status (0 when the list
    does not contain it). ``incarnation`` increases with each start under one name
    (wall clock at the start in milliseconds). ``versions`` are those that an endpoint
    serves.
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
