"""The bounded set of endpoints that one entry speaks to."""

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
    """Pick this entry's endpoints, some in every availability zone.

    Within a zone, entries and endpoints are each ranked by a hash of their names;
    the entry at rank i of n starts at i/n of the endpoints and takes the next few.
    So every endpoint is picked by the same number of entries, give or take one,
    and an arrival or departure shifts ranks by one and changes an entry's set by an
    endpoint or so. With few entries the set grows until each endpoint is covered
    ``MIN_COVERAGE`` times.
    """
    ranked_entries = sorted(set(entries) | {entry}, key=_hash_rank)
    place = ranked_entries.index(entry)
    picked: list[Instance] = []
    for zone in sorted({e.availability_zone for e in endpoints}):
        members = [e for e in endpoints if e.availability_zone == zone]
        members.sort(key=lambda e: _hash_rank(e.name))
        share = round(size * len(members) / len(endpoints))
        cover = -(-MIN_COVERAGE * len(members) // len(ranked_entries))
        count = min(len(members), max(1, share, cover))
        first = place * len(members) // len(ranked_entries)
        picked += [members[(first + step) % len(members)] for step in range(count)]
    return tuple(picked)


def _hash_rank(name: str) -> bytes:
    return blake2b(name.encode(), digest_size=8).digest()
