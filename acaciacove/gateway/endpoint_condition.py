"""Whether an endpoint can be used now, and if not, why."""

from enum import StrEnum

from acaciacove.gateway.catalogue.endpoint import Endpoint
from acaciacove.gateway.gateway import Gateway


class EndpointCondition(StrEnum):
    """Conditions in the order of precedence: the first that applies is reported."""

    LEAVING = "leaving"
    ZONE_OUT = "zone_out"
    RESTING = "resting"
    EJECTED = "ejected"
    COLD = "cold"
    USABLE = "usable"


def endpoint_condition(
    gateway: Gateway, endpoint: Endpoint, now_s: float
) -> EndpointCondition:
    """Return the first condition that applies to an endpoint."""
    if gateway.states.is_leaving(endpoint):
        return EndpointCondition.LEAVING
    if endpoint.availability_zone in gateway.view.zones_out:
        return EndpointCondition.ZONE_OUT
    if gateway.states.rest_left_s(endpoint, now_s) > 0.0:
        return EndpointCondition.RESTING
    if gateway.states.of(endpoint).health.is_ejected(now_s):
        return EndpointCondition.EJECTED
    if endpoint.cold_until_s > now_s:
        return EndpointCondition.COLD
    return EndpointCondition.USABLE
