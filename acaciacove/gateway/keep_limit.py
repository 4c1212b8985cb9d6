"""Keeps to bounds on an endpoint that hold over all gateways together."""

from acaciacove.gateway.choice.share_of import rough_share_of, share_of
from acaciacove.gateway.endpoint_state import EndpointState
from acaciacove.gateway.gateway import Gateway

# How often it is checked whether members have come or gone.
CHECK_EVERY_S = 1.0
# The part of an endpoint's connections that gateways use, all together.
CONNECTION_MARGIN = 0.8


def may_send(gateway: Gateway, state: EndpointState, now_s: float) -> bool:
    """Tell whether an endpoint's limit leaves room for one more from this gateway."""
    if not state.limit.is_set(now_s):
        return True
    return state.limit.allows(now_s, own_share(gateway, state, now_s))


def own_share(gateway: Gateway, state: EndpointState, now_s: float) -> int:
    """Return how many requests this gateway may send in the limit's window."""
    if not gateway.members_known:
        # How many share the limit is not known yet; others keep to it meanwhile.
        return 0
    total, share = state.limit.per_window, state.limit_share
    if share.total == total and now_s - share.checked_s < CHECK_EVERY_S:
        return share.own
    gateways = gateway.peers
    if share.total != total or share.gateways is not gateways:
        share.own = share_of(total, state.rank, gateway.settings.name, gateways)
        share.total, share.gateways = total, gateways
    share.checked_s = now_s
    return share.own


def own_connections(gateway: Gateway, state: EndpointState, limit: int) -> int:
    """Return how many of an endpoint's connections this gateway may use at once."""
    total = int(CONNECTION_MARGIN * limit)
    count, name = gateway.gateway_count, gateway.settings.name
    if not gateway.members_known:
        return max(1, total // count)
    return rough_share_of(total, state.rank, name, count)
