"""Distinguishes entries that expired in a log outage from deregistered endpoints."""

from attrs import define, field

from acaciacove.decisions.retained_entry import RetainedEntry

# Live endpoints register again within this time after the log has recovered.
REREGISTRATION_S = 2.2
# Share of an endpoint's drain time, counted from when its entry was last known to
# exist, for which it may still be sent requests.
RETAINED_DRAIN_SHARE = 0.85


@define(eq=False)
class EntryRetention:
    """Decides which removed entries are retained, and for how long.

    All times are read from one clock that keeps running while the machine is suspended.

    Calls that failed only in this process prove no outage: the log may have rejected
    this process alone. An entry is retained for longer than a draining endpoint serves
    only if calls failed for a long time and no other gateway reports that the log was
    available.
    """

    _recovered_s: float = float("-inf")
    _confirmed_s: float = float("-inf")
    _last_read_s: float = float("-inf")
    _had_outage: bool = False
    _is_restored: bool = False
    _retained: dict[str, RetainedEntry] = field(factory=dict)
    _reregistered: set[str] = field(factory=set)

    def begin_read(
        self,
        now_s: float,
        recovered_s: float | None,
        failing_s: float | None,
        is_restored: bool = False,
    ) -> None:
        """Start a read of the log.

        ``recovered_s`` is when the log recovered from an outage before this read, or
        None if there is no sign of an outage since the previous read. Reads have failed
        since ``failing_s``. A removal before that time would have ended the read that
        was waiting then. If ``is_restored``, the log has returned from a copy: an entry
        that it lacks is no sign that the endpoint has left.
        """
        self._last_read_s = now_s
        if failing_s is not None:
            self._confirmed_s = max(self._confirmed_s, failing_s)
        self._had_outage = recovered_s is not None
        self._is_restored = is_restored
        if recovered_s is None:
            return
        self._recovered_s = recovered_s
        self._reregistered.clear()
        for entry in self._retained.values():
            entry.expires_at_s = recovered_s + REREGISTRATION_S
            entry.expires_on_read = True

    def end_read(self, complete_s: float) -> None:
        """Finish a read. Entries that were not removed existed at ``complete_s``."""
        self._confirmed_s = max(self._confirmed_s, complete_s)

    @property
    def is_empty(self) -> bool:
        """Return whether no removed entry is retained."""
        return not self._retained

    @property
    def next_read_s(self) -> float:
        """When a read can first show that a retained entry is not back."""
        return min(
            (e.expires_at_s for e in self._retained.values() if e.expires_on_read),
            default=float("inf"),
        )

    def is_retained(self, instance: str) -> bool:
        """Return whether an entry was removed and may still be registered again."""
        return instance in self._retained

    def record_write(self, instance: str) -> None:
        """Record that an entry was written, which shows that its endpoint is alive."""
        was_retained = self._retained.pop(instance, None) is not None
        if was_retained or not self._had_outage:
            self._reregistered.add(instance)

    def retain_removed(self, instance: str, now_s: float, drain_s: float) -> bool:
        """Return whether a removed entry is retained, as it may only have expired."""
        if instance in self._reregistered:
            self._reregistered.discard(instance)
            return False
        entry = self._new_entry(now_s, drain_s)
        if entry.expires_at_s <= now_s:
            return False
        self._retained[instance] = entry
        return True

    def _new_entry(self, now_s: float, drain_s: float) -> RetainedEntry:
        reregistered_s = self._recovered_s + REREGISTRATION_S
        safe_s = self._confirmed_s + RETAINED_DRAIN_SHARE * drain_s
        if self._is_restored or (self._had_outage and safe_s <= now_s):
            return RetainedEntry(reregistered_s, expires_on_read=True)
        if safe_s < reregistered_s:
            return RetainedEntry(safe_s, expires_on_read=False)
        return RetainedEntry(reregistered_s, expires_on_read=True)

    def pop_expired(self, now_s: float) -> list[str]:
        """Forget and return the entries that were not registered again in time."""
        expired = [
            instance
            for instance, entry in self._retained.items()
            if (self._last_read_s if entry.expires_on_read else now_s)
            >= entry.expires_at_s
        ]
        for instance in expired:
            del self._retained[instance]
        return expired
