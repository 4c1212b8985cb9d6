"""Filters a request's endpoints by service version during a roll-out."""

from acaciacove.gateway.catalogue.endpoint import Endpoint
from acaciacove.gateway.choice.stable_hash import SIZE_BYTES, stable_hash
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.rollout.rollout_phase import RolloutPhase
from acaciacove.gateway.rollout.rollout_progress import RolloutProgress
from acaciacove.gateway.rollout.rollout_state import RolloutState
from acaciacove.gateway.rollout.rollout_steps import (
    may_send_to_target,
    target_share,
)
from acaciacove.gateway.work import Work

HASH_RANGE = 2.0 ** (8 * SIZE_BYTES)


def admissible(
    gateway: Gateway, work: Work, endpoints: list[Endpoint], now_s: float
) -> list[Endpoint]:
    """Return the endpoints whose version may serve this request."""
    service = work.service.name
    order = gateway.beliefs.orders.get(service)
    if order is None:
        return endpoints
    target = [e for e in endpoints if e.version == order.target]
    old = [e for e in endpoints if e.version != order.target]
    outcome = gateway.beliefs.outcomes.get(service)
    if outcome is not None and outcome.target == order.target:
        if outcome.state is RolloutState.COMPLETED:
            return target or old
        if outcome.state is RolloutState.ROLLED_BACK:
            return old
    progress = gateway.rollouts.get(service)
    if progress is None or progress.phase is RolloutPhase.STOPPED:
        return old
    return _by_share(gateway, work, progress, old, target, now_s)


def _by_share(
    gateway: Gateway,
    work: Work,
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
        return _without_old(gateway, progress, target)
    known = None
    if work.session is not None:
        known = gateway.sessions.get(work.service.name, work.session, now_s)
    is_known = known == progress.order.target
    if not is_known and not _draws_target(gateway, work, progress, now_s):
        return old
    fits = may_send_to_target(
        progress, gateway.rollout_settings, gateway.gateway_count, is_known
    )
    return target if fits else old


def _without_old(
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
        for e in gateway.beliefs.endpoints.values()
    ):
        return target
    fits = may_send_to_target(
        progress, gateway.rollout_settings, gateway.gateway_count, True
    )
    return target if fits else []


def _draws_target(
    gateway: Gateway, work: Work, progress: RolloutProgress, now_s: float
) -> bool:
    """Return whether a request that is not on the target version is moved to it."""
    drawn = work.session or work.request.hints.request_id or ""
    has_session = work.session is not None
    share = target_share(progress, gateway.rollout_settings, has_session, now_s)
    return position(f"{progress.order.revision}/{drawn}") < share


def position(text: str) -> float:
    """Return a number from 0 to 1 that depends on the text alone."""
    return int.from_bytes(stable_hash(text)) / HASH_RANGE
