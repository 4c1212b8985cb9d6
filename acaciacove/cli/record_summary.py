"""One-line summaries of the records of the release stream."""

from acaciacove.state.exposure_record import ExposureRecord
from acaciacove.state.instance_decision import InstanceDecision
from acaciacove.state.quarantine_record import QuarantineRecord
from acaciacove.state.record import Record
from acaciacove.state.release_note import ReleaseNote
from acaciacove.state.snapshot import Snapshot
from acaciacove.state.zone_decision import ZoneDecision

UNREADABLE = "a record that this version cannot read"


def summarise(record: Record | None) -> str:
    """Return a one-line summary of a record."""
    match record:
        case ReleaseNote():
            return f"release note {record.note_id}: {record.summary or 'no summary'}"
        case ZoneDecision():
            return (
                f"availability zone {record.availability_zone} {_direction(record.out)}"
            )
        case InstanceDecision():
            return f"instance {record.instance} {_direction(record.out)}"
        case QuarantineRecord():
            return f"quarantine of {record.version}: {record.reason}"
        case ExposureRecord():
            return f"{record.version} earned a share of {record.share:g}"
        case Snapshot():
            return f"snapshot of revision {record.state.revision}"
    return UNREADABLE


def record_id(record: Record | None) -> str:
    """Return the id that an operator gave a record, or an empty string."""
    match record:
        case ReleaseNote():
            return record.note_id
        case ZoneDecision() | InstanceDecision():
            return record.decision_id
    return ""


def _direction(out: bool) -> str:
    return "out" if out else "in"
