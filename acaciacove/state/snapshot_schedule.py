"""Re-appends the state in force before the records it stands for expire."""

from random import Random

from acaciacove.fleet.fleet_state import NO_REVISION
from acaciacove.state.fleet_holder import FleetHolder
from acaciacove.state.record_codec import encode_record
from acaciacove.state.snapshot import Snapshot

INTERVAL_S = 3600.0
RECORDS_BETWEEN = 200
SPREAD_S = 60.0


class SnapshotSchedule:
    """Decides when this process appends a snapshot; every process runs one.

    A snapshot is due ``interval_s`` after the last one, or sooner when many
    records have followed it. Each process then waits a random part of
    ``spread_s`` and gives up as soon as another's snapshot arrives, so that as a
    rule one of them writes it. Keep ``interval_s`` well under the log's retention.
    """

    def __init__(
        self,
        holder: FleetHolder,
        name: str,
        random: Random,
        interval_s: float = INTERVAL_S,
        spread_s: float = SPREAD_S,
    ) -> None:
        """Start counting from the first call of ``due``."""
        self._holder = holder
        self._name = name
        self._random = random
        self._interval_s = interval_s
        self._spread_s = spread_s
        self._seen_offset = -1
        self._seen_s: float | None = None
        self._turn_s: float | None = None

    def due(self, now_s: float) -> bytes | None:
        """Return a snapshot to append to the release stream now, if it is time."""
        holder = self._holder
        if holder.revision == NO_REVISION or holder.gap:
            return None
        if self._seen_s is None or holder.snapshot_offset > self._seen_offset:
            self._restart(now_s)
            return None
        if not self._is_time(now_s):
            return None
        if self._turn_s is None:
            self._turn_s = now_s + self._random.uniform(0.0, self._spread_s)
        if now_s < self._turn_s:
            return None
        self._restart(now_s)
        return encode_record(Snapshot(holder.state, self._name))

    def _restart(self, now_s: float) -> None:
        self._seen_offset = self._holder.snapshot_offset
        self._seen_s = now_s
        self._turn_s = None

    def _is_time(self, now_s: float) -> bool:
        assert self._seen_s is not None
        age_s = now_s - self._seen_s
        records = self._holder.revision - self._holder.snapshot_offset
        many = records >= RECORDS_BETWEEN and age_s >= self._spread_s
        return many or age_s >= self._interval_s
