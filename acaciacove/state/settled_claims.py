"""Claims whose calls have ended, in a few dozen bytes each."""

from attrs import define, field

from acaciacove.state.claim import Claim
from acaciacove.state.claim_row import ClaimRow
from acaciacove.state.claim_segment import ClaimSegment, merged, segment_of
from acaciacove.state.held_claim import HeldClaim
from acaciacove.state.outcome import Outcome

DIGEST_HEX = 32
HASH_HEX = 16
NUMBER_HEX = 16
FIRST_SEGMENT = 1024
LARGEST_SEGMENT = 8192
LARGEST_UINT32 = 2**32 - 1
LARGEST_UINT16 = 2**16 - 1
KNOWN = 1
KEPT = 2


@define(eq=False)
class SettledClaims:
    """Rows of settled claims in sorted segments, which double when they merge.

    A key is remembered for a day, and nearly all of that time its call has long
    ended. Kept whole, the claims of a busy owner would take half a gigabyte. Keys
    are told apart by 64 bits of their digest: about one new key in 10^13 meets the
    row of another, and is refused as reused; none is run twice for it.
    """

    oldest_s: float = 0.0
    _recent: dict[int, ClaimRow] = field(factory=dict)
    _segments: list[ClaimSegment] = field(factory=list)
    _owners: dict[tuple[str, int], int] = field(factory=dict)
    _names: list[tuple[str, int]] = field(factory=list)

    def __len__(self) -> int:
        """Return how many rows are kept, old ones in live segments included."""
        return len(self._recent) + sum(map(len, self._segments))

    def add(self, held: HeldClaim) -> bool:
        """Take a claim over; false if it has to be kept whole.

        An answer that only its owner has in memory needs the whole claim.
        """
        hashed = _hash(held.claim.key)
        if hashed is None or self._find(hashed) is not None:
            return False
        row = self._row(held)
        if row is None:
            return False
        self._recent[hashed] = row
        if len(self._recent) >= FIRST_SEGMENT:
            self._seal()
        return True

    def find(self, key: str) -> HeldClaim | None:
        """Return the claim that holds a key, built anew from its row."""
        hashed = _hash(key)
        row = None if hashed is None else self._find(hashed)
        if row is None or row.at_s < self.oldest_s:
            return None
        return self._held(key, row)

    def forget(self, oldest_s: float) -> int:
        """Drop what was claimed before (Unix time); return how many rows went."""
        before = len(self)
        self.oldest_s = max(self.oldest_s, oldest_s)
        self._segments = [s for s in self._segments if s.newest_s >= oldest_s]
        self._recent = {h: r for h, r in self._recent.items() if r.at_s >= oldest_s}
        return before - len(self)

    def _find(self, hashed: int) -> ClaimRow | None:
        """Look through the segments, the newest first."""
        row = self._recent.get(hashed)
        if row is not None:
            return row
        for segment in reversed(self._segments):
            row = segment.find(hashed)
            if row is not None:
                return row
        return None

    def _seal(self) -> None:
        """Turn the recent rows into a segment, and merge segments of one size.

        Segments stay small enough for a merge to hold the process up for some
        milliseconds only.
        """
        self._segments.append(segment_of(self._recent))
        self._recent = {}
        while self._is_mergeable():
            last = self._segments.pop()
            self._segments[-1] = merged(self._segments[-1], last)

    def _is_mergeable(self) -> bool:
        if len(self._segments) < 2:
            return False
        before, last = len(self._segments[-2]), len(self._segments[-1])
        return before <= last < LARGEST_SEGMENT

    def _row(self, held: HeldClaim) -> ClaimRow | None:
        """Write a claim as a row; None if it does not fit one."""
        claim, outcome = held.claim, held.outcome
        if outcome is None or (outcome.known and not outcome.answer_kept):
            return None
        fingerprint = _digest(claim.fingerprint)
        number = _claim_number(claim)
        owner = self._owner(claim.owner, claim.incarnation)
        if fingerprint is None or number is None or owner is None:
            return None
        if not 0 <= held.outcome_offset <= LARGEST_UINT32:
            return None
        if not (0 <= claim.at_s <= LARGEST_UINT32):
            return None
        if not 0 <= outcome.status <= LARGEST_UINT16:
            return None
        return ClaimRow(
            fingerprint=fingerprint,
            number=number,
            at_s=int(claim.at_s),
            offset=held.outcome_offset,
            owner=owner,
            status=outcome.status,
            flags=KNOWN * outcome.known | KEPT * outcome.answer_kept,
        )

    def _owner(self, name: str, incarnation: int) -> int | None:
        """Return the number of an owner, whose name would be most of a row."""
        owner = (name, incarnation)
        if owner not in self._owners:
            if len(self._names) > LARGEST_UINT16:
                return None
            self._owners[owner] = len(self._names)
            self._names.append(owner)
        return self._owners[owner]

    def _held(self, key: str, row: ClaimRow) -> HeldClaim:
        name, incarnation = self._names[row.owner]
        claim_id = _claim_id(name, incarnation, row.number)
        fingerprint = row.fingerprint.hex()
        claim = Claim(key, claim_id, name, incarnation, fingerprint, float(row.at_s))
        known, kept = bool(row.flags & KNOWN), bool(row.flags & KEPT)
        outcome = Outcome(key, claim_id, known, kept, row.status)
        return HeldClaim(claim, outcome, row.offset)


def _claim_id(owner: str, incarnation: int, number: int) -> str:
    return f"{owner}/{incarnation}/{number:016x}"


def _claim_number(claim: Claim) -> int | None:
    """Return the number in a claim's id; None if the id is of another form."""
    number = _hex(claim.claim_id.rpartition("/")[2], NUMBER_HEX)
    if number is None:
        return None
    expected = _claim_id(claim.owner, claim.incarnation, number)
    return number if expected == claim.claim_id else None


def _hash(key: str) -> int | None:
    return None if _digest(key) is None else int(key[:HASH_HEX], 16)


def _digest(text: str) -> bytes | None:
    """Read a digest of 16 bytes; None if the text could not be written again."""
    number = _hex(text, DIGEST_HEX)
    return None if number is None else number.to_bytes(DIGEST_HEX // 2)


def _hex(text: str, length: int) -> int | None:
    """Read plain hexadecimal digits, in lower case, of this length."""
    try:
        number = int(text, 16)
    except ValueError:
        return None
    return number if f"{number:0{length}x}" == text else None
