"""One caller's request on its way through the gateway."""

from functools import cached_property

from attrs import define, field

from acaciacove.gateway.catalogue.organisation import Organisation
from acaciacove.gateway.catalogue.route import Route
from acaciacove.gateway.catalogue.service import Service
from acaciacove.gateway.http.caller_request import CallerRequest
from acaciacove.gateway.http.response_head import ResponseHead
from acaciacove.gateway.quarantine.request_fingerprint import request_fingerprint
from acaciacove.gateway.response_summary import ResponseSummary


@define(eq=False)
class RequestContext:
    """The request, where it may go, and what its attempts have brought.

    ``deadline_s`` is when its answer must be complete. ``sent`` counts endpoints
    that were handed the request. ``may_have_run`` is set once an endpoint may
    have begun it. ``last_failure`` is the last complete failure of an endpoint.
    ``refused_by`` are endpoints that said "not run", which no model is asked of again.
    ``confidences`` holds models' opinions of their answers to it, ``next_model`` which
    model is asked after one that was unsure. ``responses`` are those of answers that
    came.
    ``on_trial`` is set for a request that is suspected of crashing endpoints, and that
    this gateway alone may try.
    """

    request: CallerRequest
    route: Route
    service: Service
    organisation: Organisation | None
    session: str | None
    deadline_s: float
    model: str | None
    sent: int = 0
    attempt_count: int = 0
    may_have_run: bool = False
    last_failure: tuple[ResponseHead, bytes] | None = None
    tried_instances: set[str] = field(factory=set)
    refused_by: set[str] = field(factory=set)
    last_event_id: str | None = None
    events_delivered: bool = False
    first_chunk_s: float | None = None
    on_trial: bool = False
    next_model: str | None = None
    confidences: dict[str, float] = field(factory=dict)
    trail: list[str] = field(factory=list)
    responses: list[ResponseSummary] = field(factory=list)

    @cached_property
    def fingerprint(self) -> int:
        """The same number each time that the caller sends this request."""
        caller = self.organisation.name if self.organisation else ""
        return request_fingerprint(self.request, caller)

    @property
    def priority(self) -> int:
        """The urgency that engines are told, 0 first."""
        own = self.organisation.priority if self.organisation else None
        wanted = self.route.priority if own is None else own
        return max(0, min(LOWEST_PRIORITY, wanted))


LOWEST_PRIORITY = 9
