"""Filters a request's endpoints by service version during a roll-out."""

from acaciacove.gateway.catalogue.endpoint import Endpoint
from acaciacove.gateway.choice.stable_hash import SIZE_BYTES, stable_hash
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.request_context import RequestContext
from acaciacove.gateway.rollout.rollout_phase import RolloutPhase
from acaciacove.gateway.rollout.rollout_progress import RolloutProgress
from acaciacove.gateway.rollout.rollout_state import RolloutState
from acaciacove.gateway.rollout.rollout_steps import (
    may_send_to_target,
    target_share,
)

HASH_RANGE = 2.0 ** (8 * SIZE_BYTES)


def filter_by_version(
    gateway: Gateway, context: RequestContext, endpoints: list[Endpoint], now_s: float
) -> list[Endpoint]:
    """Return the endpoints whose version may serve this request."""
    service = context.service.name
    order = gateway.view.orders.get(service)
    if order is None:
        return endpoints
    target = [e for e in endpoints if e.version == order.target]
    old = [e for e in endpoints if e.version != order.target]
    outcome = gateway.view.outcomes.get(service)
    if outcome is not None and outcome.target == order.target:
        if outcome.state is RolloutState.COMPLETED:
            return target or old
        if outcome.state is RolloutState.ROLLED_BACK:
            return old
    progress = gateway.rollouts.get(service)
    if progress is None or progress.phase is RolloutPhase.STOPPED:
        return old
    return _split_by_share(gateway, context, progress, old, target, now_s)


def _split_by_share(
    gateway: Gateway,
    context: RequestContext,
    progress: RolloutProgress,
    old: list[Endpoint],
    target: list[Endpoint],
    now_s: float,
) -> list[Endpoint]:
    """Keep sessions on their version, and draw the version of other requests.

    The draw is a hash of the session or request id, so all gateways draw alike.
    """
    if not target:
        return old
    if not old:
        return _without_old_endpoints(gateway, progress, target)
    version = None
    if context.session is not None:
        version = gateway.sessions.get(context.service.name, context.session, now_s)
    is_on_target = version == progress.order.target
    if not is_on_target and not _is_drawn_for_target(gateway, context, progress, now_s):
        return old
    allowed = may_send_to_target(
        progress, gateway.rollout_settings, gateway.gateway_count, is_on_target
    )
    return target if allowed else old


def _without_old_endpoints(
    gateway: Gateway, progress: RolloutProgress, target: list[Endpoint]
) -> list[Endpoint]:
    """Return the endpoints to use while none of the old version may be used.

    If the old version has no endpoint left, the target version serves everything. If
    its endpoints are only unusable for now, the target version serves up to its
    exposure limit.
    """
    order = progress.order
    if not any(
        e.service == order.service and e.version != order.target
        for e in gateway.view.endpoints.values()
    ):
        return target
    allowed = may_send_to_target(
        progress, gateway.rollout_settings, gateway.gateway_count, True
    )
    return target if allowed else []


def _is_drawn_for_target(
    gateway: Gateway, context: RequestContext, progress: RolloutProgress, now_s: float
) -> bool:
    """Return whether a request that is not on the target version is moved to it."""
    subject = context.session or context.request.hints.request_id or ""
    has_session = context.session is not None
    share = target_share(progress, gateway.rollout_settings, has_session, now_s)
    return unit_hash(f"{progress.order.order_id}/{subject}") < share


def unit_hash(text: str) -> float:
    """Return a number from 0 to 1 that depends on the text alone."""
    return int.from_bytes(stable_hash(text)) / HASH_RANGE
