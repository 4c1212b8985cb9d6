"""The union of all records in the release stream."""

from acaciacove.state.exposure_record import ExposureRecord
from acaciacove.state.instance_decision import InstanceDecision
from acaciacove.state.quarantine_record import QuarantineRecord
from acaciacove.state.release_note import ReleaseNote
from acaciacove.state.snapshot import Snapshot
from acaciacove.state.zone_decision import ZoneDecision

Record = (
    ReleaseNote
    | ZoneDecision
    | InstanceDecision
    | QuarantineRecord
    | ExposureRecord
    | Snapshot
)

RELEASE_STREAM = "release"
