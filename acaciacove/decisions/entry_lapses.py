"""Tells entries that lapsed while the log was away from endpoints that left."""

from attrs import define, field

from acaciacove.decisions.kept_entry import KeptEntry

# Endpoints that live are back this long after the log's return.
RETURN_S = 2.2
# Of the time for which a leaving endpoint serves, how long it may still be sent
# requests after its entry was last known to stand.
KEPT_DRAIN_SHARE = 0.85


@define(eq=False)
class EntryLapses:
    """Which removed entries are kept, and for how long.

    Times are of one clock that goes on while the machine is suspended.

    Calls that fail here prove nothing: the log may turn this process away alone. An
    entry is kept beyond the time for which a leaving endpoint serves only where calls
    failed for long and nobody who could look says that the log was there.
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
        """Begin with a look at the log, which ``returned_s`` says was away before.

        It is None where nothing speaks for an absence since the look before. Looks
        failed since ``failing_s``: until then a removal would have ended the one under
        way.
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
        """End a look: entries that were not removed stood at ``complete_s``."""
        self._stood_s = max(self._stood_s, complete_s)

    def is_kept(self, instance: str) -> bool:
        """Tell whether an entry was removed and may come back."""
        return instance in self._kept

    def note_written(self, instance: str) -> None:
        """Note an entry that was written: its endpoint lives."""
        was_kept = self._kept.pop(instance, None) is not None
        if was_kept or not self._was_absent:
            self._back.add(instance)

    def keep_removed(self, instance: str, now_s: float, drain_s: float) -> bool:
        """Tell whether a removed entry may be a lapse, and is kept for a while."""
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
        """Return the entries that have not come back in time, and forget them."""
        overdue = [
            instance
            for instance, entry in self._kept.items()
            if (self._seen_s if entry.until_seen else now_s) >= entry.until_s
        ]
        for instance in overdue:
            del self._kept[instance]
        return overdue
