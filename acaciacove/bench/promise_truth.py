"""What is really in force, read from the log without any fault."""

from collections.abc import Callable

from acaciacove.adapters.log_entry import LogEntry
from acaciacove.bench.faulty_log import FaultyLog
from acaciacove.fleet.fleet_state import NO_REVISION, FleetState
from acaciacove.state.fleet_store import FleetStore
from acaciacove.state.record import RELEASE_STREAM

GRACE_S = 3.0


class PromiseTruth:
    """The states in force with the time at which the first process held each.

    A release counts from the moment that a process can spread it: while the log is
    down and nobody has read it, nobody can follow it.
    """

    def __init__(self, log: FaultyLog) -> None:
        """Read from the start."""
        self._log = log
        self._fleet_store = FleetStore()
        self.states: list[FleetState] = []
        self.known_s: dict[int, float] = {}

    @property
    def state(self) -> FleetState:
        """Return the newest state."""
        self.refresh()
        return self._fleet_store.state

    def refresh(self) -> None:
        """Read what was appended since."""
        payloads = self._log.streams.get(RELEASE_STREAM, [])
        for offset in range(self._fleet_store.next_offset, len(payloads)):
            self._fleet_store.offer([LogEntry(offset, payloads[offset])])
            self.states.append(self._fleet_store.state)

    def held(self, revision: int, now_s: float) -> None:
        """Learn that a live process holds a revision."""
        for known in range(max(self.known_s, default=NO_REVISION) + 1, revision + 1):
            self.known_s[known] = now_s

    def held_by_none_above(self, revision: int, now_s: float) -> None:
        """Learn that nobody who can speak holds a later revision.

        The one process that had read it may have been paused or killed before it
        told anyone; the seconds of grace then start anew.
        """
        for known in self.known_s:
            if known > revision:
                self.known_s[known] = now_s

    def due_revision(self, now_s: float) -> int:
        """Return the revision that has to be in force everywhere by now."""
        due = NO_REVISION
        for revision in sorted(self.known_s, reverse=True):
            if now_s - self.known_s[revision] > GRACE_S:
                due = revision
                break
        return due

    def holds_lately(self, now_s: float, fact: Callable[[FleetState], bool]) -> bool:
        """Tell whether a fact holds, or did within the seconds of grace."""
        self.refresh()
        first = max(0, self.due_revision(now_s))
        return any(fact(state) for state in self.states[first:])
