"""The two deployments of today, as the bench plays them."""

from attrs import frozen


@frozen
class Deployment:
    """Zones, sizes and the weights that a deployment gives to the four measures."""

    name: str
    zones: tuple[str, ...]
    endpoints: int
    entries: int
    load: float
    moved_zone: str
    cost_weight: float
    latency_weight: float
    exposure_weight: float
    zone_weight: float


COOPERATIVE = Deployment(
    "cooperative",
    ("ozark", "piedmont", "cumberland", "gulfcoast"),
    endpoints=5,
    entries=3,
    load=0.6,
    moved_zone="gulfcoast",
    cost_weight=0.35,
    latency_weight=0.15,
    exposure_weight=0.15,
    zone_weight=0.35,
)
KIOSQUES = Deployment(
    "kiosques",
    ("agadir-a", "agadir-b", "tiznit"),
    endpoints=9,
    entries=3,
    load=0.55,
    moved_zone="tiznit",
    cost_weight=0.15,
    latency_weight=0.4,
    exposure_weight=0.3,
    zone_weight=0.15,
)
DEPLOYMENTS = (COOPERATIVE, KIOSQUES)
