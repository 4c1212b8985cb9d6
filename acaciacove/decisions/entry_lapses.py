"""Distinguishes entries that expired in a log outage from deregistered endpoints."""

from attrs import define, field

from acaciacove.decisions.kept_entry import KeptEntry

# Live endpoints register again within this time after the log has recovered.
RETURN_S = 2.2
# Share of an endpoint's drain time, counted from when its entry was last known to
# exist, for which it may still be sent requests.
KEPT_DRAIN_SHARE = 0.85


@define(eq=False)
class EntryLapses:
    """Decides which removed entries are retained, and for how long.

    All times are read from one clock that keeps running while the machine is suspended.

    Calls that failed only in this process prove no outage: the log may have rejected
    this process alone. An entry is retained for longer than a draining endpoint serves
    only if calls failed for a long time and no other gateway reports that the log was
    available.
    """

    _returned_s: float = float("-inf")
    _stood_s: float = float("-inf")
    _seen_s: float = float("-inf")
    _was_absent: bool = False
    _kept: dict[str, KeptEntry] = field(factory=dict)
    _back: set[str] = field(factory=set)

    def begin_look(
        self, now_s: float, returned_s: float | None, failing_s: float | None
    ) -> None:
        """Start a read of the log.

        ``recovered_s`` is when the log recovered from an outage before this read, or
        None if there is no sign of an outage since the previous read. Reads have failed
        since ``failing_s``. A removal before that time would have ended the read that
        was waiting then.
        """
        self._seen_s = now_s
        if failing_s is not None:
            self._stood_s = max(self._stood_s, failing_s)
        self._was_absent = returned_s is not None
        if returned_s is None:
            return
        self._returned_s = returned_s
        self._back.clear()
        for entry in self._kept.values():
            entry.until_s = returned_s + RETURN_S
            entry.until_seen = True

    def end_look(self, complete_s: float) -> None:
        """Finish a read. Entries that were not removed existed at ``complete_s``."""
        self._stood_s = max(self._stood_s, complete_s)

    def is_kept(self, instance: str) -> bool:
        """Return whether an entry was removed and may still be registered again."""
        return instance in self._kept

    def note_written(self, instance: str) -> None:
        """Record that an entry was written, which shows that its endpoint is alive."""
        was_kept = self._kept.pop(instance, None) is not None
        if was_kept or not self._was_absent:
            self._back.add(instance)

    def keep_removed(self, instance: str, now_s: float, drain_s: float) -> bool:
        """Return whether a removed entry is retained, as it may only have expired."""
        if instance in self._back:
            self._back.discard(instance)
            return False
        entry = self._entry(now_s, drain_s)
        if entry.until_s <= now_s:
            return False
        self._kept[instance] = entry
        return True

    def _entry(self, now_s: float, drain_s: float) -> KeptEntry:
        back_s = self._returned_s + RETURN_S
        safe_s = self._stood_s + KEPT_DRAIN_SHARE * drain_s
        if self._was_absent and safe_s <= now_s:
            return KeptEntry(back_s, until_seen=True)
        if safe_s < back_s:
            return KeptEntry(safe_s, until_seen=False)
        return KeptEntry(back_s, until_seen=True)

    def take_overdue(self, now_s: float) -> list[str]:
        """Forget and return the entries that were not registered again in time."""
        overdue = [
            instance
            for instance, entry in self._kept.items()
            if (self._seen_s if entry.until_seen else now_s) >= entry.until_s
        ]
        for instance in overdue:
            del self._kept[instance]
        return overdue
