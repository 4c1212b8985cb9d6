"""Which endpoints hold a version that is rolled out, agreed by hash alone."""

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
    """Return what each endpoint should hold beyond what the platform lists.

    A version under roll-out belongs on the share of its predecessor's endpoints that
    it has earned, on two at least. Sidecars load it by this rule and entries look for
    it by the same rule, so nothing has to be told, and a roll-out that stops half-way
    leaves every holder where the rule has put it. A larger share adds holders and
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
    """Rank the predecessor's endpoints and take the first by the earned share."""
    able = [name for name, versions in held.items() if replaced in versions]
    share = fleet.exposures.get(version.id, version.first_share)
    count = max(MIN_HOLDERS, ceil(share * len(able)))
    rank = partition_of(str(version.id), HASH_PARTITIONS)
    return rank_owners(rank, able)[:count]
