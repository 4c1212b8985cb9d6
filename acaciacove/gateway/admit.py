"""Admission: decides whether a request is served, and for which organisation."""

import asyncio

from acaciacove.gateway.catalogue.organisation import Organisation
from acaciacove.gateway.catalogue.route import Route
from acaciacove.gateway.catalogue.service import Service
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.http.caller_request import CallerRequest
from acaciacove.gateway.request_context import RequestContext
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal

# API keys are accepted up to this share of the time within which a revocation must take
# effect. The rest covers requests that are already on their way to this process.
REVOCATION_AGE_SHARE = 0.9
# A view is stale when its age exceeds this share of the time within which a decision
# must take effect. An unknown route or key may then be one that the view lacks.
STALE_AGE_SHARE = 0.9
# Retry-After of a refusal. After a start, the first read of the log is about to
# complete; while the view is stale, the log is expected to recover.
STARTING_RETRY_AFTER_S = 0.5
STALE_RETRY_AFTER_S = 1.0


def admit(gateway: Gateway, request: CallerRequest) -> RequestContext | Refusal:
    """Find route, organisation and service of a request, or return the refusal."""
    view = gateway.view
    catalogue = view.catalogue
    if catalogue is None or not view.is_usable:
        return Refusal(
            Reason.NOT_READY, True, "no catalogue is known yet", STARTING_RETRY_AFTER_S
        )
    stale_after_s = STALE_AGE_SHARE * gateway.settings.propagation_s
    is_stale = view.confirmed_age_s > stale_after_s
    route = catalogue.match(request.host, request.path)
    if route is None:
        return _refuse_unknown(is_stale, Reason.UNKNOWN_API, "no route has this prefix")
    organisation: Organisation | None = None
    if catalogue.has_organisations and not route.anonymous:
        key = request.hints.api_key
        organisation = catalogue.organisations.get(key or "")
        if organisation is None:
            return _refuse_unknown(is_stale, Reason.BAD_TOKEN, "the key is not known")
        if _keys_may_be_revoked(gateway):
            return Refusal(
                Reason.STALE_REVISION,
                True,
                "revoked keys cannot be told from valid ones for now",
                STALE_RETRY_AFTER_S,
            )
    service = _pick_service(gateway, route)
    if service is None:
        return Refusal(Reason.NO_ENDPOINT, True, "the route has no service", 1.0)
    return _build_context(gateway, request, route, organisation, service)


def _refuse_unknown(is_stale: bool, reason: Reason, detail: str) -> Refusal:
    """Return a refusal, with 503 instead of "there is none" while the view is stale."""
    if is_stale:
        return Refusal(Reason.STALE_REVISION, True, detail, STALE_RETRY_AFTER_S)
    return Refusal(reason, True, detail)


def _keys_may_be_revoked(gateway: Gateway) -> bool:
    """Return whether the operator's decisions were last read too long ago.

    A process that is cut off from the log does not learn of a revoked key. It would go
    on serving whoever holds the key, and the organisation would be billed for requests
    of somebody whose access it has revoked.
    """
    if not gateway.settings.revocation_strict:
        return False
    limit_s = REVOCATION_AGE_SHARE * gateway.settings.revocation_s
    return gateway.view.confirmed_age_s > limit_s


def _pick_service(gateway: Gateway, route: Route) -> Service | None:
    """Choose one of the route's services at random, by weight."""
    assert gateway.view.catalogue is not None
    shares = [s for s in route.shares if s.weight > 0] or list(route.shares)
    if not shares:
        return None
    drawn = gateway.random.choices(shares, [s.weight or 1.0 for s in shares])[0]
    services = gateway.view.catalogue.services
    return services.get(drawn.service) or Service(drawn.service, 0)


def _build_context(
    gateway: Gateway,
    request: CallerRequest,
    route: Route,
    organisation: Organisation | None,
    service: Service,
) -> RequestContext:
    hints = request.hints
    time_s = route.timeout_s
    if hints.deadline_s is not None:
        time_s = min(time_s, hints.deadline_s)
    session = None
    if route.session_affinity:
        shared = hints.prompt.shared_key if hints.prompt else None
        session = hints.session or shared
    now_s = asyncio.get_running_loop().time()
    gateway.budget(service.name).count_request(now_s)
    gateway.traffic.count_request(service.name, now_s)
    return RequestContext(
        request=request,
        route=route,
        service=service,
        organisation=organisation,
        session=session,
        deadline_s=request.arrived_s + time_s,
        model=hints.model,
        last_event_id=None,
    )
