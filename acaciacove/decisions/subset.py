"""Deterministic subsetting: the endpoints that one entry connects to."""

from collections.abc import Iterable, Sequence
from hashlib import blake2b

from acaciacove.fleet.instance import Instance

DEFAULT_SIZE = 24
MIN_COVERAGE = 2


def choose_subset(
    entry: str,
    entries: Iterable[str],
    endpoints: Sequence[Instance],
    size: int = DEFAULT_SIZE,
) -> tuple[Instance, ...]:
    """Return the subset of endpoints of an entry, with some in every zone.

    Within a zone, entries and endpoints are ranked by a hash of their names. The entry
    at rank i of n starts at i/n of the endpoints and takes the next few. All endpoints
    are thus in the same number of subsets, give or take one. An added or removed
    process shifts ranks by one and changes a subset by about one endpoint. With few
    entries, subsets grow until each endpoint is in ``MIN_COVERAGE`` of them.
    """
    ranked_entries = sorted(set(entries) | {entry}, key=_hash_rank)
    rank = ranked_entries.index(entry)
    picked: list[Instance] = []
    for zone in sorted({e.availability_zone for e in endpoints}):
        members = [e for e in endpoints if e.availability_zone == zone]
        members.sort(key=lambda e: _hash_rank(e.name))
        share = round(size * len(members) / len(endpoints))
        coverage = -(-MIN_COVERAGE * len(members) // len(ranked_entries))
        count = min(len(members), max(1, share, coverage))
        start = rank * len(members) // len(ranked_entries)
        picked += [members[(start + step) % len(members)] for step in range(count)]
    return tuple(picked)


def _hash_rank(name: str) -> bytes:
    return blake2b(name.encode(), digest_size=8).digest()
