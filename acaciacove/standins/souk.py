"""Example deployment: the Souk Atlas Kiosk Assistant Router Fleet."""

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

ZONES = ("agadir-a", "agadir-b", "tiznit")
DARIJA = "darija"
PAYMENTS = "payments"
SMALL = VersionId("darija-small", "1")
LARGE = VersionId("darija-large", "1")
PAYMENTS_VERSION = VersionId("payments", "1")
ALL_MODELS = (SMALL.model, LARGE.model, PAYMENTS_VERSION.model)
SMALL_MODELS = (SMALL.model, PAYMENTS_VERSION.model)
PROFILE = EngineProfile(
    token_s=0.001, token_per_peer_s=0.0001, prefill_token_s=0.0001, cold_bears=2
)

LARGE_MEMBERS = (
    ("kiosques-agadir", 4.0),
    ("kiosques-tiznit", 3.0),
    ("kiosques-taroudant", 2.0),
)
MEMBERS = (
    "kiosques-tafraout",
    "kiosques-imouzzer",
    "kiosques-ait-baha",
    "kiosques-argana",
    "kiosques-immi-ntanoute",
    "kiosques-sidi-ifni",
)
MEMBER_WITHOUT_LARGE = "kiosques-aglou"

NOTE = ReleaseNote(
    note_id="souk-first",
    based_on=-1,
    operator="operations@souk-atlas.example",
    summary="Darija summaries and price lookups from two models, and kiosk payments",
    apis=(
        Api(DARIJA, ApiKind.MODEL, quality_target=0.75),
        Api(
            PAYMENTS,
            ApiKind.SERVICE,
            non_idempotent=(
                CallRule("POST", "/topups"),
                CallRule("POST", "/vouchers/redeem"),
            ),
        ),
    ),
    versions=(
        Version(SMALL, DARIJA, 0.15, quality=0.7, cold_bears=2, warm_bears=16),
        Version(LARGE, DARIJA, 1.1, quality=0.9, cold_bears=1, warm_bears=8),
        Version(
            PAYMENTS_VERSION, PAYMENTS, 0.01, quality=1.0, cold_bears=4, warm_bears=32
        ),
    ),
    organisations=(
        *(example_organisation(name, ALL_MODELS, w) for name, w in LARGE_MEMBERS),
        *(example_organisation(name, ALL_MODELS) for name in MEMBERS),
        example_organisation(MEMBER_WITHOUT_LARGE, SMALL_MODELS),
    ),
)

SOUK = Deployment(
    name="souk",
    title="Souk Atlas Kiosk Assistant Router Fleet",
    region="souss",
    availability_zones=ZONES,
    endpoints=(
        *spread_endpoints(
            DARIJA, ApiKind.MODEL, ZONES, (SMALL, SMALL, LARGE) * 3, PROFILE
        ),
        *spread_endpoints(PAYMENTS, ApiKind.SERVICE, ZONES, (PAYMENTS_VERSION,) * 3),
    ),
    note=NOTE,
    tokens={o.name: example_token(o.name) for o in NOTE.organisations},
    qualities={str(SMALL): 0.71, str(LARGE): 0.9},
    prompts=(
        "Summarise what has to be reordered before the van leaves.",
        "What does a five-litre can of olive oil cost today?",
        "Which top-ups of this morning have not arrived?",
    ),
)
