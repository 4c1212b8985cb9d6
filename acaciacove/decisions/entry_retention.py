"""Tells entries that lapsed while the log was away from endpoints that left."""

from attrs import define, field

from acaciacove.decisions.retained_entry import RetainedEntry

# Endpoints that live are back this long after the log's return.
REREGISTRATION_S = 2.2
# Of the time for which a leaving endpoint serves, how long it may still be sent
# requests after its entry was last known to stand.
RETAINED_DRAIN_SHARE = 0.85


@define(eq=False)
class EntryRetention:
    """Which removed entries are kept, and for how long.

    Times are of one clock that goes on while the machine is suspended.

    Calls that fail here prove nothing: the log may turn this process away alone. An
    entry is kept beyond the time for which a leaving endpoint serves only where calls
    failed for long and nobody who could look says that the log was there.
    """

    _recovered_s: float = float("-inf")
    _confirmed_s: float = float("-inf")
    _last_read_s: float = float("-inf")
    _had_outage: bool = False
    _retained: dict[str, RetainedEntry] = field(factory=dict)
    _reregistered: set[str] = field(factory=set)

    def begin_read(
        self, now_s: float, recovered_s: float | None, failing_s: float | None
    ) -> None:
        """Begin with a look at the log, which ``recovered_s`` says was away before.

        It is None where nothing speaks for an absence since the look before. Looks
        failed since ``failing_s``: until then a removal would have ended the one under
        way.
        """
        self._last_read_s = now_s
        if failing_s is not None:
            self._confirmed_s = max(self._confirmed_s, failing_s)
        self._had_outage = recovered_s is not None
        if recovered_s is None:
            return
        self._recovered_s = recovered_s
        self._reregistered.clear()
        for entry in self._retained.values():
            entry.expires_s = recovered_s + REREGISTRATION_S
            entry.expires_on_read = True

    def end_read(self, complete_s: float) -> None:
        """End a look: entries that were not removed stood at ``complete_s``."""
        self._confirmed_s = max(self._confirmed_s, complete_s)

    def is_retained(self, instance: str) -> bool:
        """Tell whether an entry was removed and may come back."""
        return instance in self._retained

    def record_write(self, instance: str) -> None:
        """Note an entry that was written: its endpoint lives."""
        was_kept = self._retained.pop(instance, None) is not None
        if was_kept or not self._had_outage:
            self._reregistered.add(instance)

    def retain_removed(self, instance: str, now_s: float, drain_s: float) -> bool:
        """Tell whether a removed entry may be a lapse, and is kept for a while."""
        if instance in self._reregistered:
            self._reregistered.discard(instance)
            return False
        entry = self._entry(now_s, drain_s)
        if entry.expires_s <= now_s:
            return False
        self._retained[instance] = entry
        return True

    def _entry(self, now_s: float, drain_s: float) -> RetainedEntry:
        back_s = self._recovered_s + REREGISTRATION_S
        safe_s = self._confirmed_s + RETAINED_DRAIN_SHARE * drain_s
        if self._had_outage and safe_s <= now_s:
            return RetainedEntry(back_s, expires_on_read=True)
        if safe_s < back_s:
            return RetainedEntry(safe_s, expires_on_read=False)
        return RetainedEntry(back_s, expires_on_read=True)

    def pop_expired(self, now_s: float) -> list[str]:
        """Return the entries that have not come back in time, and forget them."""
        overdue = [
            instance
            for instance, entry in self._retained.items()
            if (self._last_read_s if entry.expires_on_read else now_s)
            >= entry.expires_s
        ]
        for instance in overdue:
            del self._retained[instance]
        return overdue
