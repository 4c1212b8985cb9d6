"""Compact storage of claims whose calls have ended, in a few dozen bytes each."""

from attrs import define, field

from acaciacove.state.claim import Claim
from acaciacove.state.claim_row import ClaimRow
from acaciacove.state.claim_segment import ClaimSegment, build_segment, merge_segments
from acaciacove.state.held_claim import HeldClaim
from acaciacove.state.outcome import Outcome

DIGEST_HEX_DIGITS = 32
HASH_HEX_DIGITS = 16
NUMBER_HEX_DIGITS = 16
MIN_SEGMENT_ROWS = 1024
MAX_MERGED_ROWS = 8192
MAX_UINT32 = 2**32 - 1
MAX_UINT16 = 2**16 - 1
KNOWN_FLAG = 1
ANSWER_KEPT_FLAG = 2


@define(eq=False)
class SettledClaims:
    """Rows of settled claims in sorted segments, which are merged pairwise by size.

    A key is retained for a day, and its call has ended for nearly all of that time.
    As complete objects, the claims of a busy owner would take half a gigabyte. Keys
    are identified by 64 bits of their digest. About one new key in 10^13 collides
    with the row of another and is refused as reused; no call runs twice because of
    that.
    """

    oldest_s: float = 0.0
    _recent: dict[int, ClaimRow] = field(factory=dict)
    _segments: list[ClaimSegment] = field(factory=list)
    _owners: dict[tuple[str, int], int] = field(factory=dict)
    _names: list[tuple[str, int]] = field(factory=list)

    def __len__(self) -> int:
        """Return the number of rows, including expired rows of retained segments."""
        return len(self._recent) + sum(map(len, self._segments))

    def add(self, held: HeldClaim) -> bool:
        """Store a claim; false if a row cannot represent it.

        A claim whose answer is only in the memory of its owner needs the complete
        object.
        """
        key_hash = _key_hash(held.claim.key)
        if key_hash is None or self._find(key_hash) is not None:
            return False
        row = self._build_row(held)
        if row is None:
            return False
        self._recent[key_hash] = row
        if len(self._recent) >= MIN_SEGMENT_ROWS:
            self._seal()
        return True

    def find(self, key: str) -> HeldClaim | None:
        """Return the claim that holds a key, restored from its row."""
        key_hash = _key_hash(key)
        row = None if key_hash is None else self._find(key_hash)
        if row is None or row.at_s < self.oldest_s:
            return None
        return self._build_held_claim(key, row)

    def remove_expired(self, oldest_s: float) -> int:
        """Remove claims older than ``oldest_s`` (Unix time).

        Returns the number of removed rows.
        """
        before = len(self)
        self.oldest_s = max(self.oldest_s, oldest_s)
        self._segments = [s for s in self._segments if s.newest_s >= oldest_s]
        self._recent = {h: r for h, r in self._recent.items() if r.at_s >= oldest_s}
        return before - len(self)

    def _find(self, key_hash: int) -> ClaimRow | None:
        """Return the row of a key hash, searched from the newest segment on."""
        row = self._recent.get(key_hash)
        if row is not None:
            return row
        for segment in reversed(self._segments):
            row = segment.find(key_hash)
            if row is not None:
                return row
        return None

    def _seal(self) -> None:
        """Convert the recent rows to a segment, and merge segments of equal size.

        The size of segments is limited, so that a merge blocks the process for only a
        few milliseconds.
        """
        self._segments.append(build_segment(self._recent))
        self._recent = {}
        while self._is_mergeable():
            last = self._segments.pop()
            self._segments[-1] = merge_segments(self._segments[-1], last)

    def _is_mergeable(self) -> bool:
        if len(self._segments) < 2:
            return False
        before, last = len(self._segments[-2]), len(self._segments[-1])
        return before <= last < MAX_MERGED_ROWS

    def _build_row(self, held: HeldClaim) -> ClaimRow | None:
        """Return the row of a claim; None if a row cannot represent it."""
        claim, outcome = held.claim, held.outcome
        if outcome is None or (outcome.known and not outcome.answer_kept):
            return None
        fingerprint = _parse_digest(claim.fingerprint)
        number = _parse_claim_number(claim)
        owner = self._owner_index(claim.owner, claim.incarnation)
        if fingerprint is None or number is None or owner is None:
            return None
        if not 0 <= held.outcome_offset <= MAX_UINT32:
            return None
        if not (0 <= claim.at_s <= MAX_UINT32):
            return None
        if not 0 <= outcome.status <= MAX_UINT16:
            return None
        return ClaimRow(
            fingerprint=fingerprint,
            number=number,
            at_s=int(claim.at_s),
            offset=held.outcome_offset,
            owner=owner,
            status=outcome.status,
            flags=KNOWN_FLAG * outcome.known | ANSWER_KEPT_FLAG * outcome.answer_kept,
        )

    def _owner_index(self, name: str, incarnation: int) -> int | None:
        """Return the index of an owner; its name would be the largest part of a row."""
        owner = (name, incarnation)
        if owner not in self._owners:
            if len(self._names) > MAX_UINT16:
                return None
            self._owners[owner] = len(self._names)
            self._names.append(owner)
        return self._owners[owner]

    def _build_held_claim(self, key: str, row: ClaimRow) -> HeldClaim:
        name, incarnation = self._names[row.owner]
        claim_id = _format_claim_id(name, incarnation, row.number)
        fingerprint = row.fingerprint.hex()
        claim = Claim(key, claim_id, name, incarnation, fingerprint, float(row.at_s))
        known, kept = bool(row.flags & KNOWN_FLAG), bool(row.flags & ANSWER_KEPT_FLAG)
        outcome = Outcome(key, claim_id, known, kept, row.status)
        return HeldClaim(claim, outcome, row.offset)


def _format_claim_id(owner: str, incarnation: int, number: int) -> str:
    return f"{owner}/{incarnation}/{number:016x}"


def _parse_claim_number(claim: Claim) -> int | None:
    """Return the number in the id of a claim; None if the id has another format."""
    number = _parse_hex(claim.claim_id.rpartition("/")[2], NUMBER_HEX_DIGITS)
    if number is None:
        return None
    expected = _format_claim_id(claim.owner, claim.incarnation, number)
    return number if expected == claim.claim_id else None


def _key_hash(key: str) -> int | None:
    return None if _parse_digest(key) is None else int(key[:HASH_HEX_DIGITS], 16)


def _parse_digest(text: str) -> bytes | None:
    """Parse a digest of 16 bytes; None if it does not format to the same text."""
    number = _parse_hex(text, DIGEST_HEX_DIGITS)
    return None if number is None else number.to_bytes(DIGEST_HEX_DIGITS // 2)


def _parse_hex(text: str, length: int) -> int | None:
    """Parse lower-case hexadecimal digits of this length; None for other text."""
    try:
        number = int(text, 16)
    except ValueError:
        return None
    return number if f"{number:0{length}x}" == text else None
