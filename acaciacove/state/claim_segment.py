"""Immutable segment of settled claims, sorted by key hash."""

from array import array
from bisect import bisect_left
from collections.abc import Iterable
from struct import Struct

from attrs import frozen

from acaciacove.state.claim_row import ClaimRow

ROW_LAYOUT = Struct("<16sQIIHHB")
HASH_TYPECODE = "Q"


@frozen
class ClaimSegment:
    """Sorted key hashes with a packed row for each.

    ``newest_s`` is the Unix time of the newest claim.
    """

    hashes: "array[int]"
    rows: bytes
    newest_s: int

    def __len__(self) -> int:
        """Return the number of rows."""
        return len(self.hashes)

    def find(self, key_hash: int) -> ClaimRow | None:
        """Return the row of a key hash."""
        index = bisect_left(self.hashes, key_hash)
        if index == len(self.hashes) or self.hashes[index] != key_hash:
            return None
        return ClaimRow(*ROW_LAYOUT.unpack_from(self.rows, index * ROW_LAYOUT.size))

    def items(self) -> Iterable[tuple[int, bytes]]:
        """Yield key hashes with their packed rows, in order."""
        row_offsets = range(0, len(self.rows), ROW_LAYOUT.size)
        for key_hash, row_offset in zip(self.hashes, row_offsets, strict=True):
            yield key_hash, self.rows[row_offset : row_offset + ROW_LAYOUT.size]


def build_segment(rows: dict[int, ClaimRow]) -> ClaimSegment:
    """Return a segment of rows that are given by key hash."""
    hashes = array(HASH_TYPECODE, sorted(rows))
    packed = b"".join(_pack(rows[key_hash]) for key_hash in hashes)
    return ClaimSegment(hashes, packed, max(row.at_s for row in rows.values()))


def merge_segments(first: ClaimSegment, second: ClaimSegment) -> ClaimSegment:
    """Merge two segments without common key hashes."""
    pairs = sorted([*first.items(), *second.items()])
    hashes = array(HASH_TYPECODE, (key_hash for key_hash, _ in pairs))
    rows = b"".join(row for _, row in pairs)
    return ClaimSegment(hashes, rows, max(first.newest_s, second.newest_s))


def _pack(row: ClaimRow) -> bytes:
    return ROW_LAYOUT.pack(
        row.fingerprint,
        row.number,
        row.at_s,
        row.offset,
        row.owner,
        row.status,
        row.flags,
    )
