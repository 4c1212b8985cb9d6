"""The share of traffic that each version under roll-out gets."""

from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId

FULL_SHARE = 1.0


def exposure(fleet: FleetState, version: Version) -> float:
    """Return the share in force of a version.

    A version without a predecessor in the fleet gets the full share.
    """
    if version.replaces is None or version.replaces not in fleet.versions:
        return FULL_SHARE
    return fleet.exposures.get(version.id, version.first_share)


def exposures(fleet: FleetState) -> dict[VersionId, float]:
    """Return the share of every version under roll-out, as recorded in the log."""
    return {
        v.id: exposure(fleet, v)
        for v in fleet.versions.values()
        if v.replaces is not None and v.replaces in fleet.versions
    }
