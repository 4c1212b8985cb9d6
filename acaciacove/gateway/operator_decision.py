"""The decisions that operators' records contain."""

from attrs import frozen

from acaciacove.gateway.catalogue.catalogue import Catalogue


@frozen
class ZoneOut:
    """Endpoints in the zone get no more requests."""

    availability_zone: str


@frozen
class RolloutSpec:
    """Move a service to a version within a given time."""

    service: str
    target: str
    duration_s: float


OperatorDecision = Catalogue | ZoneOut | RolloutSpec
