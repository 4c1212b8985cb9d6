"""Which gateways read the log, and through which of them the others read."""

from collections import Counter
from collections.abc import Iterable, Mapping

from acaciacove.gateway.choice.stable_hash import stable_hash

# Gateways that read through one reader. Each sends requests for two streams, twice a
# second, at about 0.2 ms of the reader's processor time and 150 bytes: at most 1.3% of
# a core and 10 kB/s. Each additional reader costs the platform two calls a second.
PEERS_PER_READER = 16
# Gateways that are asked if the readers cannot reach the log. Gateways later in the
# order would then read nothing themselves, while these do.
FALLBACK_PEERS = 2


# A zone with this many gateways has its own readers. This saves traffic between zones
# and bounds the gateways per reader: a change of the catalogue is sent to all of them
# at once, over the link that the reader's callers share.
MIN_GROUP_SIZE = 3


def reader_group(local_name: str, zone_of: Mapping[str, str]) -> set[str]:
    """Return the members that share readers with ``local_name``, itself among them."""
    sizes = Counter(zone_of.values())
    if sizes[zone_of[local_name]] >= MIN_GROUP_SIZE:
        return {name for name, zone in zone_of.items() if zone == zone_of[local_name]}
    return {name for name, zone in zone_of.items() if sizes[zone] < MIN_GROUP_SIZE}


def reader_order(members: Iterable[str]) -> list[str]:
    """Return the members ranked, readers first; all members compute the same order."""
    return sorted(members, key=lambda name: stable_hash(f"reader/{name}"))


def reader_count(members: int) -> int:
    """Return how many of ``members`` gateways read the log themselves."""
    return 1 + (members - 1) // PEERS_PER_READER if members else 0


def relay_candidates(
    local_name: str, members: Iterable[str], may_read: bool
) -> list[str]:
    """Return whom ``local_name`` asks, in order, before it reads the log itself.

    ``may_read`` is false while the log rejects calls of this gateway. It then asks
    other gateways even if it is a reader.
    """
    order = reader_order({*members, local_name})
    count = reader_count(len(order))
    readers = order[:count]
    if may_read and local_name in readers:
        return []
    # Each gateway starts with a different reader, which spreads the requests.
    first = int.from_bytes(stable_hash(local_name)) % count
    candidates = readers[first:] + readers[:first]
    candidates += order[count : count + FALLBACK_PEERS]
    if may_read and local_name in candidates:
        candidates = candidates[: candidates.index(local_name)]
    return [name for name in candidates if name != local_name]
