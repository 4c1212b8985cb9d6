"""Records what an endpoint asks of this gateway in a response."""

from acaciacove.gateway.catalogue.endpoint import Endpoint
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.http.response_head import ResponseHead
from acaciacove.gateway.log_events import Event


def record_notices(
    gateway: Gateway, endpoint: Endpoint, head: ResponseHead, now_s: float
) -> None:
    """Record a departure and a rest that a response announces."""
    for detail in head.unreadable:
        gateway.log.write(
            Event.HEADER_UNREADABLE, endpoint=endpoint.instance, detail=detail
        )
    if head.leaving and gateway.states.record_notice(endpoint).record_leaving():
        gateway.log.write(
            Event.ENDPOINT_LEAVING,
            endpoint=endpoint.instance,
            incarnation=endpoint.incarnation,
        )
    if head.rest_s:
        notice = gateway.states.record_notice(endpoint)
        if notice.record_rest(head.rest_s, now_s):
            gateway.log.write(
                Event.ENDPOINT_RESTING,
                endpoint=endpoint.instance,
                incarnation=endpoint.incarnation,
                rest_s=head.rest_s,
            )
