"""Example deployment: the Shared Swimhole Guide Platform Router."""

from acaciacove.fleet.api import Api
from acaciacove.fleet.api_kind import ApiKind
from acaciacove.fleet.call_rule import CallRule
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId
from acaciacove.standins.deployment import Deployment
from acaciacove.standins.engine_profile import EngineProfile
from acaciacove.standins.example_organisations import (
    example_organisation,
    example_token,
)
from acaciacove.standins.spread_endpoints import spread_endpoints
from acaciacove.state.release_note import ReleaseNote

ZONES = ("ozark", "piedmont", "cumberland", "gulfcoast")
GUIDE = "guide"
BOOKINGS = "bookings"
SMALL = VersionId("guide-small", "1")
LARGE = VersionId("guide-large", "1")
BOOKINGS_VERSION = VersionId("bookings", "1")
ALL_MODELS = (SMALL.model, LARGE.model, BOOKINGS_VERSION.model)
SMALL_MODELS = (SMALL.model, BOOKINGS_VERSION.model)
PROFILE = EngineProfile(
    token_s=0.002, token_per_peer_s=0.0001, prefill_token_s=0.0001, cold_bears=2
)

LARGE_MEMBERS = (
    ("ozark-float-outfitters", 4.0),
    ("piedmont-swim-guides", 3.0),
    ("cumberland-canoe-club", 3.0),
    ("gulfcoast-springs-tours", 2.0),
)
MEMBERS = (
    "current-river-guides",
    "buffalo-bend-outfitters",
    "chattahoochee-paddlers",
    "broad-river-guides",
    "suwannee-spring-divers",
)
MEMBER_WITHOUT_LARGE = "caney-fork-outfitters"

NOTE = ReleaseNote(
    note_id="swimhole-first",
    based_on=-1,
    operator="operations@swimhole.example",
    summary="Guide texts and chat from a cheap and a dear model, and bookings",
    apis=(
        Api(GUIDE, ApiKind.MODEL, quality_target=0.8),
        Api(
            BOOKINGS,
            ApiKind.SERVICE,
            non_idempotent=(
                CallRule("POST", "/shuttles"),
                CallRule("POST", "/closures"),
            ),
        ),
    ),
    versions=(
        Version(SMALL, GUIDE, 0.2, quality=0.72, cold_bears=2, warm_bears=16),
        Version(LARGE, GUIDE, 1.5, quality=0.92, cold_bears=1, warm_bears=8),
        Version(
            BOOKINGS_VERSION, BOOKINGS, 0.01, quality=1.0, cold_bears=4, warm_bears=32
        ),
    ),
    organisations=(
        *(example_organisation(name, ALL_MODELS, w) for name, w in LARGE_MEMBERS),
        *(example_organisation(name, ALL_MODELS) for name in MEMBERS),
        example_organisation(MEMBER_WITHOUT_LARGE, SMALL_MODELS),
    ),
)

SWIMHOLE = Deployment(
    name="swimhole",
    title="The Shared Swimhole Guide Platform Router",
    region="south",
    availability_zones=ZONES,
    endpoints=(
        *spread_endpoints(
            GUIDE, ApiKind.MODEL, ZONES, (SMALL, LARGE, SMALL, LARGE, SMALL), PROFILE
        ),
        *spread_endpoints(BOOKINGS, ApiKind.SERVICE, ZONES, (BOOKINGS_VERSION,) * 4),
    ),
    note=NOTE,
    tokens={o.name: example_token(o.name) for o in NOTE.organisations},
    qualities={str(SMALL): 0.74, str(LARGE): 0.93},
    prompts=(
        "Write the full guide to the ledge above the old ford.",
        "Summarise this week's creek reports for the upper fork.",
        "Is the spring warm enough for the children on Sunday?",
    ),
)
