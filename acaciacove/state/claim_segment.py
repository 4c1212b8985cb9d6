"""Rows of settled claims, sorted by the hash of their keys."""

from array import array
from bisect import bisect_left
from collections.abc import Iterable
from struct import Struct

from attrs import frozen

from acaciacove.state.claim_row import ClaimRow

LAYOUT = Struct("<16sQIIHHB")
HASHES = "Q"


@frozen
class ClaimSegment:
    """Hashes in order, and a packed row for each; ``newest_s`` is Unix time."""

    hashes: "array[int]"
    rows: bytes
    newest_s: int

    def __len__(self) -> int:
        """Return how many rows there are."""
        return len(self.hashes)

    def find(self, hashed: int) -> ClaimRow | None:
        """Return the row of a hash."""
        place = bisect_left(self.hashes, hashed)
        if place == len(self.hashes) or self.hashes[place] != hashed:
            return None
        return ClaimRow(*LAYOUT.unpack_from(self.rows, place * LAYOUT.size))

    def items(self) -> Iterable[tuple[int, bytes]]:
        """Yield hashes with their packed rows, in order."""
        starts = range(0, len(self.rows), LAYOUT.size)
        for hashed, start in zip(self.hashes, starts, strict=True):
            yield hashed, self.rows[start : start + LAYOUT.size]


def segment_of(rows: dict[int, ClaimRow]) -> ClaimSegment:
    """Sort and pack rows by hash."""
    hashes = array(HASHES, sorted(rows))
    packed = b"".join(_pack(rows[hashed]) for hashed in hashes)
    return ClaimSegment(hashes, packed, max(row.at_s for row in rows.values()))


def merged(one: ClaimSegment, other: ClaimSegment) -> ClaimSegment:
    """Join two segments, whose hashes differ."""
    pairs = sorted([*one.items(), *other.items()])
    hashes = array(HASHES, (hashed for hashed, _ in pairs))
    rows = b"".join(row for _, row in pairs)
    return ClaimSegment(hashes, rows, max(one.newest_s, other.newest_s))


def _pack(row: ClaimRow) -> bytes:
    return LAYOUT.pack(
        row.fingerprint,
        row.number,
        row.at_s,
        row.offset,
        row.owner,
        row.status,
        row.flags,
    )
