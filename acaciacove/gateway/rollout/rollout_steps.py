"""When a roll-out moves from one phase to the next."""

from acaciacove.gateway.rollout.judge import judge, judge_after_cutover
from acaciacove.gateway.rollout.rollout_phase import RolloutPhase
from acaciacove.gateway.rollout.rollout_progress import RolloutProgress
from acaciacove.gateway.rollout.rollout_settings import RolloutSettings
from acaciacove.gateway.rollout.verdict import Verdict
from acaciacove.gateway.rollout.version_capacity import VersionCapacity

# A peer's report older than this says nothing of its requests under way.
PEER_VIEW_TTL_S = 3.0


def step(
    progress: RolloutProgress,
    settings: RolloutSettings,
    capacity: VersionCapacity,
    now_s: float,
) -> None:
    """Judge the evidence and move on where it allows.

    A version is judged until its outcome is recorded, and what is not proven when the
    operator's time is over goes back: operators asked for a sound version in time.
    """
    if progress.phase is RolloutPhase.STOPPED:
        return
    progress.record_late_requests(now_s)
    verdict = _judge(progress, capacity)
    if verdict is Verdict.BAD or _peer_judged_bad(progress):
        progress.judged_bad = True
        _enter(progress, RolloutPhase.STOPPED, now_s)
        return
    elapsed = _elapsed(progress, now_s)
    if elapsed >= settings.decide_by:
        _enter(progress, RolloutPhase.STOPPED, now_s)
    elif (
        progress.phase is RolloutPhase.TRIAL
        and verdict is Verdict.GOOD
        and elapsed >= settings.sessions_from
        and has_capacity(capacity, settings)
    ):
        progress.mark_cutover()
        _enter(progress, RolloutPhase.ALL, now_s)


def has_capacity(capacity: VersionCapacity, settings: RolloutSettings) -> bool:
    """Tell whether the new version could bear what the old one bears."""
    return capacity.target >= settings.least_capacity * capacity.old


def _judge(progress: RolloutProgress, capacity: VersionCapacity) -> Verdict:
    if progress.phase is RolloutPhase.ALL:
        return judge_after_cutover(progress.evidence_since_cutover(capacity.target))
    return judge(progress.evidence(capacity.target))


def _elapsed(progress: RolloutProgress, now_s: float) -> float:
    return (now_s - progress.began_s) / progress.order.duration_s


def _enter(progress: RolloutProgress, phase: RolloutPhase, now_s: float) -> None:
    progress.phase = phase
    progress.phase_since_s = now_s


def _peer_judged_bad(progress: RolloutProgress) -> bool:
    return any(view.judged_bad for view, _ in progress.peer_views.values())


def may_complete(
    progress: RolloutProgress,
    settings: RolloutSettings,
    capacity: VersionCapacity,
    now_s: float,
) -> bool:
    """Tell whether the old version may be stopped.

    It cannot be started again, so the new version must have held under all of the
    load. Stopping it cuts the requests that it still works on, so completion waits
    until none is left here or at a peer, or until time runs out.
    """
    if progress.phase is not RolloutPhase.ALL:
        return False
    if now_s - progress.phase_since_s < settings.quiet_s:
        return False
    if not has_capacity(capacity, settings):
        return False
    recent = progress.evidence_since_cutover(capacity.target)
    if judge_after_cutover(recent) is not Verdict.GOOD:
        return False
    if _elapsed(progress, now_s) >= settings.complete_by:
        return True
    busy_peers = any(
        view.old_in_flight
        for view, seen_s in progress.peer_views.values()
        if now_s - seen_s < PEER_VIEW_TTL_S
    )
    return progress.old_in_flight == 0 and not busy_peers


def may_send_to_target(
    progress: RolloutProgress,
    settings: RolloutSettings,
    gateway_count: int,
    known_session: bool,
) -> bool:
    """Tell whether one more request fits the exposure that is promised.

    Every gateway keeps to the share of its own requests and to its part of the
    extra, so the sum keeps to the promise without asking anybody.
    """
    if progress.phase is RolloutPhase.ALL:
        return True
    extra = settings.exposure_extra / gateway_count
    allowed = settings.exposure_share * progress.sent_all + extra
    target_requests = progress.sent_target + progress.reserved_target
    margin = settings.new_session_margin
    if known_session:
        margin = settings.known_session_margin
    return target_requests + 1 <= allowed * margin


def target_share(
    progress: RolloutProgress,
    settings: RolloutSettings,
    has_session: bool,
    now_s: float,
) -> float:
    """Return the share of requests or sessions that are drawn to the new version."""
    if progress.phase is RolloutPhase.ALL:
        return 1.0
    if progress.phase is RolloutPhase.STOPPED:
        return 0.0
    if _elapsed(progress, now_s) < settings.sessions_from:
        return 0.0 if has_session else settings.trial_share
    return settings.session_trial_share
