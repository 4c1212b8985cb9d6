"""Limits on an endpoint that all gateways together comply with."""

from acaciacove.gateway.choice.share_of import is_drawn, name_hash, share_of
from acaciacove.gateway.endpoint_state import EndpointState
from acaciacove.gateway.gateway import Gateway

# The interval between checks for changes in the set of gateways.
MEMBER_CHECK_EVERY_S = 1.0
# The share of an endpoint's connection limit that all gateways together use.
CONNECTION_MARGIN = 0.8


def may_send(gateway: Gateway, state: EndpointState, now_s: float) -> bool:
    """Return whether an endpoint's limit allows one more request from this gateway."""
    if not state.stated_limit.is_set(now_s):
        return True
    return state.stated_limit.allows(now_s, local_share(gateway, state, now_s))


def local_share(gateway: Gateway, state: EndpointState, now_s: float) -> int:
    """Return how many requests this gateway may send in the limit's window."""
    if not gateway.members_loaded:
        # The number of gateways that share the limit is not known yet. The gateways
        # that do know it use the limit meanwhile.
        return 0
    total, share = state.stated_limit.per_window, state.limit_share
    if share.total == total and now_s - share.checked_s < MEMBER_CHECK_EVERY_S:
        return share.allotted
    gateways = gateway.peers
    if share.total != total or share.gateways is not gateways:
        share.allotted = share_of(
            total, state.instance_hash, gateway.settings.name, gateways
        )
        share.total, share.gateways = total, gateways
    share.checked_s = now_s
    return share.allotted


def with_free_connections(
    gateway: Gateway, limit: int, states: list[EndpointState]
) -> list[EndpointState]:
    """Return the endpoints to which this gateway may open one more connection.

    The gateways' shares of an endpoint's connections add up to its limit on average
    only. This costs the same for any number of gateways. A gateway without a share of
    any endpoint may use one connection to each endpoint to which it has none, as it
    would otherwise refuse all its callers.
    """
    count = gateway.gateway_count
    per_gateway, remainder = divmod(int(CONNECTION_MARGIN * limit), count)
    if not gateway.members_loaded:
        per_gateway, remainder = max(1, per_gateway), 0
    local_hash = name_hash(gateway.settings.name)
    free = [
        state
        for state in states
        if state.load.in_flight < per_gateway
        or (
            state.load.in_flight == per_gateway
            and is_drawn(remainder, count, state.instance_hash ^ local_hash)
        )
    ]
    if free or per_gateway:
        return free
    return [state for state in states if not state.load.in_flight]
