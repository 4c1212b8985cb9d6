"""One caller's request on its way through the gateway."""

from functools import cached_property

from attrs import define, field

from acaciacove.gateway.catalogue.organisation import Organisation
from acaciacove.gateway.catalogue.route import Route
from acaciacove.gateway.catalogue.service import Service
from acaciacove.gateway.http.caller_request import CallerRequest
from acaciacove.gateway.http.endpoint_connection import EndpointConnection
from acaciacove.gateway.http.response_head import ResponseHead
from acaciacove.gateway.overload_refusal import OverloadRefusal
from acaciacove.gateway.quarantine.crash_keys import shared_keys
from acaciacove.gateway.quarantine.request_fingerprint import request_fingerprint
from acaciacove.gateway.response_summary import ResponseSummary


@define(eq=False)
class RequestContext:
    """A request, its route, and the state of its attempts.

    ``deadline_s`` is when the response must be complete. ``sent_count`` counts the
    attempts that sent the request, ``attempt_count`` all of them. ``may_have_run`` is
    set once an endpoint may have started it. ``last_failure`` is the last complete
    failure response. ``tried_instances`` are the endpoints that it was sent to.
    ``refused_by`` are those that answered "not run"; they stay excluded for the next
    model. ``confidences`` maps models to the confidence that they stated in their
    responses, and ``next_model`` is the model to escalate to. ``trail`` lists the
    attempts as instance and version, and ``responses`` the response heads.
    ``used_connections`` have carried it, and carry it no second time. ``sent_to`` are
    the runs of endpoints that it was sent to. ``trial_key`` is
    set for a request that is suspected of crashing endpoints, or has
    something that is: only this gateway may try it. ``held_key`` is the key for which
    it was refused. ``postponed_s`` is how long its
    escalation waited for capacity. ``overload_refusal`` is set for one that overload
    control refused.
    """

    request: CallerRequest
    route: Route
    service: Service
    organisation: Organisation | None
    session: str | None
    deadline_s: float
    model: str | None
    sent_count: int = 0
    attempt_count: int = 0
    may_have_run: bool = False
    last_failure: tuple[ResponseHead, bytes] | None = None
    tried_instances: set[str] = field(factory=set)
    refused_by: set[str] = field(factory=set)
    used_connections: list[EndpointConnection] = field(factory=list)
    sent_to: set[tuple[str, str]] = field(factory=set)
    last_event_id: str | None = None
    events_delivered: bool = False
    first_chunk_s: float | None = None
    trial_key: int | None = None
    held_key: int | None = None
    postponed_s: float = 0.0
    next_model: str | None = None
    confidences: dict[str, float] = field(factory=dict)
    trail: list[str] = field(factory=list)
    responses: list[ResponseSummary] = field(factory=list)
    overload_refusal: OverloadRefusal | None = None

    @cached_property
    def fingerprint(self) -> int:
        """A number that is the same each time that the caller sends this request."""
        caller = self.organisation.name if self.organisation else ""
        return request_fingerprint(self.request, caller)

    @cached_property
    def shared_keys(self) -> tuple[int, ...]:
        """The keys of what it shares with other requests."""
        return shared_keys(self.request)

    @cached_property
    def crash_keys(self) -> tuple[int, ...]:
        """The keys under which crashes are counted, its own fingerprint first."""
        return (self.fingerprint, *self.shared_keys)

    @property
    def priority(self) -> int:
        """The priority that engines are given; 0 is the most urgent."""
        override = self.organisation.priority if self.organisation else None
        priority = self.route.priority if override is None else override
        return max(0, min(LOWEST_PRIORITY, priority))


LOWEST_PRIORITY = 9
