"""Assigns a version under roll-out to endpoints by hash, without coordination."""

from collections.abc import Sequence
from math import ceil

from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId
from acaciacove.state.rendezvous import partition_of, rank_owners

MIN_HOLDERS = 2
HASH_PARTITIONS = 2**31


def planned_versions(
    fleet: FleetState, endpoints: Sequence[Instance]
) -> dict[str, frozenset[VersionId]]:
    """Return the versions that each endpoint should hold beyond the platform's list.

    A version under roll-out is assigned to a share of its predecessor's endpoints
    equal to its exposure, but to at least ``MIN_HOLDERS``. Sidecars load versions and
    entries route to them by this same rule, so they need no messages, and a roll-out
    that stops half-way leaves every holder in place. A larger share adds holders and
    moves none.
    """
    held = {e.name: set(e.versions) for e in endpoints}
    for version in fleet.versions.values():
        if version.replaces is None or not fleet.is_usable(version.id):
            continue
        for name in _rollout_holders(fleet, version, version.replaces, held):
            held[name].add(version.id)
    listed = {e.name: set(e.versions) for e in endpoints}
    return {name: frozenset(held[name] - listed[name]) for name in held}


def _rollout_holders(
    fleet: FleetState,
    version: Version,
    replaced: VersionId,
    held: dict[str, set[VersionId]],
) -> list[str]:
    """Return the first endpoints of the predecessor by hash rank.

    Their number is the version's exposure times the number of those endpoints.
    """
    eligible = [name for name, versions in held.items() if replaced in versions]
    share = fleet.exposures.get(version.id, version.first_share)
    count = max(MIN_HOLDERS, ceil(share * len(eligible)))
    rank = partition_of(str(version.id), HASH_PARTITIONS)
    return rank_owners(rank, eligible)[:count]
