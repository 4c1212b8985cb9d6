"""What share of its traffic each version under roll-out gets."""

from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId

FULL_SHARE = 1.0


def exposure(fleet: FleetState, version: Version) -> float:
    """Return the share in force; without a living predecessor it is all."""
    if version.replaces is None or version.replaces not in fleet.versions:
        return FULL_SHARE
    return fleet.exposures.get(version.id, version.first_share)


def exposures(fleet: FleetState) -> dict[VersionId, float]:
    """Return the share of every version under roll-out, as the log has it."""
    return {
        v.id: exposure(fleet, v)
        for v in fleet.versions.values()
        if v.replaces is not None and v.replaces in fleet.versions
    }
