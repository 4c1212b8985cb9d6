"""What an operator's record decides."""

from attrs import frozen

from acaciacove.gateway.catalogue.catalogue import Catalogue


@frozen
class ZoneOut:
    """Nothing more is to be sent to endpoints of the zone."""

    availability_zone: str


@frozen
class RolloutSpec:
    """Move a service to a version within a time."""

    service: str
    target: str
    duration_s: float


OperatorDecision = Catalogue | ZoneOut | RolloutSpec
