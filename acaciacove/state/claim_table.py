"""State of one partition of the claims stream: the holder of each key."""

from attrs import evolve

from acaciacove.adapters.log_entry import LogEntry
from acaciacove.errors import MalformedMessageError
from acaciacove.state.batch_codec import decode_batch
from acaciacove.state.claim import Claim
from acaciacove.state.claim_codec import ClaimRecord, decode_claim_record
from acaciacove.state.held_claim import HeldClaim
from acaciacove.state.outcome import Outcome
from acaciacove.state.release import Release
from acaciacove.state.settled_claims import SettledClaims


class ClaimTable:
    """Holders of keys; readers that have applied the same offsets have equal tables.

    Only the log order decides between claims. A key is retained for
    ``remembered_s``, which is longer than the window in which it may be used. A late
    retry is therefore refused as expired instead of run as a new call. If older
    records had expired unread, ``covered_since_s`` is the Unix time from which the
    table contains every claim.
    """

    def __init__(self, remembered_s: float) -> None:
        """Start before the first record."""
        self.covered_since_s = 0.0
        self._has_gap = False
        self._remembered_s = remembered_s
        self._held: dict[str, HeldClaim] = {}
        self._settled = SettledClaims()
        self._released: dict[str, float] = {}
        self._newest_s = 0.0

    def __len__(self) -> int:
        """Return the number of held keys."""
        return len(self._held) + len(self._settled)

    def holder(self, key: str) -> HeldClaim | None:
        """Return the claim that holds a key."""
        return self._held.get(key) or self._settled.find(key)

    def offer(self, entries: list[LogEntry]) -> None:
        """Apply entries in the order of a LogTail; malformed ones are ignored."""
        for entry in entries:
            try:
                batch = decode_batch(entry.payload)
            except MalformedMessageError:
                continue
            for item in batch.items:
                try:
                    self._fold(entry.offset, decode_claim_record(item))
                except MalformedMessageError:
                    continue

    def note_gap(self, earliest_offset: int) -> None:
        """Record that the records before an offset have expired unread."""
        self._has_gap = earliest_offset > 0

    def remove_expired(self, now_s: float) -> int:
        """Remove keys expired at ``now_s`` (Unix time); return their number."""
        oldest_s = now_s - self._remembered_s
        expired = [k for k, held in self._held.items() if held.claim.at_s < oldest_s]
        for key in expired:
            del self._held[key]
        settled = self._settled.remove_expired(oldest_s)
        self._released = {c: s for c, s in self._released.items() if s >= oldest_s}
        return len(expired) + settled

    def _fold(self, offset: int, record: ClaimRecord) -> None:
        match record:
            case Claim():
                self._fold_claim(record)
            case Outcome():
                self._fold_outcome(offset, record)
            case Release():
                self._fold_release(record)

    def _fold_outcome(self, offset: int, outcome: Outcome) -> None:
        held = self._held.get(outcome.key)
        if held is None or held.claim.claim_id != outcome.claim_id:
            return
        if held.outcome is None:
            held.outcome = evolve(outcome, headers=(), body=b"")
            held.outcome_offset = offset
            if self._settled.add(held):
                del self._held[outcome.key]

    def _fold_claim(self, claim: Claim) -> None:
        """Assign a key to a claim if no other claim holds it.

        A claim whose append was slow can follow its own release in the log. If
        releases were not recorded, it would hold its key until it expires, and every
        retry of that booking would be refused.
        """
        self._newest_s = max(self._newest_s, claim.at_s)
        if self._has_gap:
            self._has_gap = False
            self.covered_since_s = claim.at_s
        if claim.claim_id in self._released or self.holder(claim.key) is not None:
            return
        self._held[claim.key] = HeldClaim(claim)

    def _fold_release(self, release: Release) -> None:
        held = self.holder(release.key)
        if held is not None and held.claim.claim_id == release.claim_id:
            if held.outcome is not None:
                return
            del self._held[release.key]
        self._released[release.claim_id] = self._newest_s
