"""Keeps to bounds on an endpoint that hold over all gateways together."""

from acaciacove.gateway.choice.limit_share import LimitShare
from acaciacove.gateway.choice.share_of import share_of
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
    total = state.limit.per_window
    return _share_now(gateway, state, state.limit_share, total, now_s)


def own_connections(
    gateway: Gateway, state: EndpointState, limit: int, now_s: float
) -> int:
    """Return how many of an endpoint's connections this gateway may use at once."""
    total = int(CONNECTION_MARGIN * limit)
    if not gateway.members_known:
        return max(1, total // gateway.gateway_count)
    return _share_now(gateway, state, state.connection_share, total, now_s)


def _share_now(
    gateway: Gateway,
    state: EndpointState,
    share: LimitShare,
    total: int,
    now_s: float,
) -> int:
    if share.total == total and now_s - share.checked_s < CHECK_EVERY_S:
        return share.own
    gateways = gateway.peers
    if share.total != total or share.gateways != gateways:
        share.own = share_of(total, state.rank, gateway.settings.name, gateways)
        share.total, share.gateways = total, gateways
    share.checked_s = now_s
    return share.own
