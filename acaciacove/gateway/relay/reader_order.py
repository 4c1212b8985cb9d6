"""Who reads the log, and whom the others ask."""

from collections import Counter
from collections.abc import Iterable, Mapping

from acaciacove.gateway.choice.stable_hash import stable_hash

# Gateways that one reader tells. Each asks for two streams, twice a second, at about
# 0.2 ms of the reader's processor and 150 bytes: 1.3% of a core and 10 kB/s at most.
# One reader more costs the platform two calls a second.
PEERS_PER_READER = 16
# Whom to ask while the readers themselves cannot reach the log. Gateways further
# behind in the order then read nothing either; these few do.
FALLBACK_PEERS = 2


# A zone with so many gateways has readers of its own. That spares bytes between zones,
# and keeps few followers to a reader: a change of the catalogue goes to all of them at
# once, over the link that the reader's callers share.
MIN_GROUP_SIZE = 3


def reader_group(me: str, zone_of: Mapping[str, str]) -> set[str]:
    """Return the members that share readers with ``me``, itself among them."""
    sizes = Counter(zone_of.values())
    if sizes[zone_of[me]] >= MIN_GROUP_SIZE:
        return {name for name, zone in zone_of.items() if zone == zone_of[me]}
    return {name for name, zone in zone_of.items() if sizes[zone] < MIN_GROUP_SIZE}


def reader_order(members: Iterable[str]) -> list[str]:
    """Rank the members, those that read the log first; alike in all of them."""
    return sorted(members, key=lambda name: stable_hash(f"reader/{name}"))


def reader_count(members: int) -> int:
    """Return how many of so many gateways read the log themselves."""
    return 1 + (members - 1) // PEERS_PER_READER if members else 0


def relay_candidates(me: str, members: Iterable[str], may_read: bool) -> list[str]:
    """List whom ``me`` asks, in turn, before it reads the log itself.

    ``may_read`` is false while the log turns ``me`` away: then it asks others
    also where it would be a reader.
    """
    order = reader_order({*members, me})
    count = reader_count(len(order))
    readers = order[:count]
    if may_read and me in readers:
        return []
    # Each begins with another reader, so that they share the questions.
    first = int.from_bytes(stable_hash(me)) % count
    asked = readers[first:] + readers[:first]
    asked += order[count : count + FALLBACK_PEERS]
    if may_read and me in asked:
        asked = asked[: asked.index(me)]
    return [name for name in asked if name != me]
