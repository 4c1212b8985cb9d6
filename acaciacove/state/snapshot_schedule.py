"""Schedules snapshots of the fleet state, before the records they cover expire."""

from random import Random

from acaciacove.fleet.fleet_state import NO_REVISION
from acaciacove.state.fleet_store import FleetStore
from acaciacove.state.record_codec import encode_record
from acaciacove.state.snapshot import Snapshot

INTERVAL_S = 3600.0
MIN_RECORDS_BETWEEN = 200
MAX_JITTER_S = 60.0


class SnapshotSchedule:
    """Decides when this process appends a snapshot; every process has a schedule.

    A snapshot is due ``interval_s`` after the last one, or earlier when many records
    have followed it. Each process then waits for a random part of ``max_jitter_s``
    and skips its snapshot if it receives another process's before that. Usually one
    process writes it. ``interval_s`` must be well below the log's retention period.
    """

    def __init__(
        self,
        fleet_store: FleetStore,
        name: str,
        random: Random,
        interval_s: float = INTERVAL_S,
        max_jitter_s: float = MAX_JITTER_S,
    ) -> None:
        """Initialise; the first ``snapshot_if_due`` starts the first interval."""
        self._fleet_store = fleet_store
        self._name = name
        self._random = random
        self._interval_s = interval_s
        self._max_jitter_s = max_jitter_s
        self._last_snapshot_offset = -1
        self._last_snapshot_s: float | None = None
        self._append_at_s: float | None = None

    def snapshot_if_due(self, now_s: float) -> bytes | None:
        """Return a snapshot to append to the release stream now, or None."""
        fleet_store = self._fleet_store
        if fleet_store.revision == NO_REVISION or fleet_store.has_gap:
            return None
        if (
            self._last_snapshot_s is None
            or fleet_store.snapshot_offset > self._last_snapshot_offset
        ):
            self._restart_interval(now_s)
            return None
        if not self._is_due(now_s):
            return None
        if self._append_at_s is None:
            self._append_at_s = now_s + self._random.uniform(0.0, self._max_jitter_s)
        if now_s < self._append_at_s:
            return None
        self._restart_interval(now_s)
        return encode_record(Snapshot(fleet_store.state, self._name))

    def _restart_interval(self, now_s: float) -> None:
        self._last_snapshot_offset = self._fleet_store.snapshot_offset
        self._last_snapshot_s = now_s
        self._append_at_s = None

    def _is_due(self, now_s: float) -> bool:
        assert self._last_snapshot_s is not None
        age_s = now_s - self._last_snapshot_s
        records = self._fleet_store.revision - self._fleet_store.snapshot_offset
        many = records >= MIN_RECORDS_BETWEEN and age_s >= self._max_jitter_s
        return many or age_s >= self._interval_s
