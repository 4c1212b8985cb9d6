"""Keeps to the limits that endpoints state to all gateways together."""

from acaciacove.gateway.choice.share_of import share_of
from acaciacove.gateway.endpoint_state import EndpointState
from acaciacove.gateway.gateway import Gateway

# A share is worked out again after this long: members come and go.
SHARE_LIFE_S = 1.0


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
    share = state.limit_share
    if share.total != total or now_s - share.worked_out_s > SHARE_LIFE_S:
        instance, name = state.endpoint.instance, gateway.settings.name
        share.own = share_of(total, instance, name, gateway.peers)
        share.total, share.worked_out_s = total, now_s
    return share.own
