"""Fleets of any size, made up for the capacity measurements."""

from hashlib import sha256

from acaciacove.fleet.api import Api
from acaciacove.fleet.api_kind import ApiKind
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.organisation import ANY_VERSION, Organisation
from acaciacove.fleet.role import Role
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId

API = "guide"
ZONES = ("ozark", "piedmont", "cumberland", "gulfcoast", "tiznit")
REGIONS = ("south", "south", "south", "souss", "souss")
QUALITY_TARGET = 0.8
LOWEST_QUALITY = 0.7
QUALITY_STEP = 0.04


def made_version(number: int) -> Version:
    """Return the version of a place on the ladder of cost and quality."""
    return Version(
        id=VersionId(f"guide-{number}", "1"),
        api=API,
        cost_per_1k_tokens=0.2 * (number + 1),
        quality=min(1.0, LOWEST_QUALITY + QUALITY_STEP * number),
        warm_bears=16,
    )


def made_organisation(number: int, versions: int) -> Organisation:
    """Return an organisation that is allowed every version."""
    name = f"organisation-{number:04d}"
    return Organisation(
        name=name,
        token_sha256=(sha256(name.encode()).hexdigest(),),
        allowed={made_version(n).id.model: (ANY_VERSION,) for n in range(versions)},
    )


def made_endpoint(number: int, versions: int) -> Instance:
    """Return an endpoint that serves one of the versions."""
    zone = number % len(ZONES)
    return Instance(
        name=f"guide-{number:04d}",
        role=Role.ENDPOINT,
        region=REGIONS[zone],
        availability_zone=ZONES[zone],
        host=f"10.{number // 65536}.{number // 256 % 256}.{number % 256}",
        port=8200,
        http_port=8300,
        incarnation=1_800_000_000_000 + number,
        versions=(made_version(number % versions).id,),
    )


def made_entry(number: int) -> Instance:
    """Return an entry."""
    zone = number % len(ZONES)
    return Instance(
        name=f"entry-{number:04d}",
        role=Role.ENTRY,
        region=REGIONS[zone],
        availability_zone=ZONES[zone],
        host=f"10.200.{number // 256 % 256}.{number % 256}",
        port=8100,
        http_port=8000,
        incarnation=1_800_000_000_000 + number,
    )


def made_state(organisations: int, versions: int) -> FleetState:
    """Return what is in force in a fleet of that many names."""
    ladder = [made_version(number) for number in range(versions)]
    teams = [made_organisation(number, versions) for number in range(organisations)]
    return FleetState(
        revision=1,
        release_revision=1,
        apis={API: Api(API, ApiKind.MODEL, quality_target=QUALITY_TARGET)},
        versions={version.id: version for version in ladder},
        organisations={team.name: team for team in teams},
    )
