"""The state in force in one process."""

from attrs import define

from acaciacove.errors import MalformedMessageError
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.platform.log_entry import LogEntry
from acaciacove.state.record_codec import decode_record
from acaciacove.state.reducer import fold


@define(eq=False)
class FleetHolder:
    """Folds records of the release stream as they come."""

    state: FleetState = FleetState()

    def offer(self, entries: list[LogEntry]) -> None:
        """Fold entries of the release stream in offset order."""
        for entry in entries:
            try:
                record = decode_record(entry.payload)
            except MalformedMessageError:
                record = None
            self.state = fold(self.state, entry.offset, record).state
