"""Which endpoint runs an attempt."""

from collections.abc import Collection, Mapping, Sequence
from random import Random

from acaciacove.decisions.candidate import Candidate
from acaciacove.decisions.decision import Decision
from acaciacove.decisions.decision_kind import DecisionKind
from acaciacove.decisions.endpoint_decision import EndpointDecision
from acaciacove.decisions.endpoint_settings import EndpointSettings
from acaciacove.decisions.endpoint_view import EndpointView
from acaciacove.decisions.lost import Lost
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.instance_status import InstanceStatus
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal

DEFAULT_SETTINGS = EndpointSettings()
_REFUSALS = (
    (Lost.LEAVING, Reason.LEAVING),
    (Lost.INSTANCE_OUT, Reason.INSTANCE_OUT),
    (Lost.ZONE_OUT, Reason.AVAILABILITY_ZONE_OUT),
)


def choose_endpoint(
    candidates: Sequence[Instance],
    views: Mapping[str, EndpointView],
    now_s: float,
    rng: Random,
    fleet: FleetState,
    *,
    excluded: Collection[str] = (),
    session_endpoint: str = "",
    prefix_hash: str = "",
    zone_shares: Mapping[str, float] | None = None,
    settings: EndpointSettings = DEFAULT_SETTINGS,
) -> EndpointDecision | Refusal:
    """Choose among the entry's bounded set of endpoints of one version.

    A few are drawn at random, and with them the endpoints that hold the session or
    the prompt's prefix; the least expected time wins. Comparing all by reports that
    lag would send every entry to the same emptiest endpoint at once. ``zone_shares``
    (from ``ZoneMoves``) thins the draws from a zone that is returning.
    """
    lost = {
        instance.name: reason
        for instance in candidates
        if (reason := _unusable(instance, fleet, excluded)) is not None
    }
    usable = [instance for instance in candidates if instance.name not in lost]
    if not usable:
        return _refusal(set(lost.values()))
    usable = _thinned(usable, zone_shares or {}, rng)
    drawn = _drawn(usable, views, rng, session_endpoint, prefix_hash, settings)
    mean = _mean_load([views[i.name] for i in drawn if i.name in views])
    scores = {
        i.name: _expected_s(
            views.get(i.name) or EndpointView(i),
            mean,
            now_s,
            i.name == session_endpoint,
            prefix_hash,
            settings,
        )
        for i in drawn
    }
    best = min(drawn, key=lambda i: scores[i.name])
    decision = _decision(best, drawn, scores, lost)
    return EndpointDecision(best, scores[best.name], decision)


def _unusable(
    instance: Instance, fleet: FleetState, excluded: Collection[str]
) -> Lost | None:
    if instance.status is not InstanceStatus.LIVE:
        return Lost.LEAVING
    if instance.availability_zone in fleet.availability_zones_out:
        return Lost.ZONE_OUT
    if instance.name in fleet.instances_out:
        return Lost.INSTANCE_OUT
    if instance.name in excluded:
        return Lost.EXCLUDED
    return None


def _refusal(lost: set[Lost]) -> Refusal:
    for why, reason in _REFUSALS:
        if why in lost and len(lost) == 1:
            return Refusal(reason, not_run=True)
    return Refusal(Reason.NO_ENDPOINT, not_run=True)


def _thinned(
    usable: list[Instance], zone_shares: Mapping[str, float], rng: Random
) -> list[Instance]:
    """Leave out endpoints of a returning zone by chance, but never all endpoints."""
    if all(share >= 1.0 for share in zone_shares.values()):
        return usable
    kept = [
        instance
        for instance in usable
        if rng.random() < zone_shares.get(instance.availability_zone, 1.0)
    ]
    return kept or usable


def _drawn(
    usable: list[Instance],
    views: Mapping[str, EndpointView],
    rng: Random,
    session_endpoint: str,
    prefix_hash: str,
    settings: EndpointSettings,
) -> list[Instance]:
    """Draw a few at random, and those with affinity."""
    drawn = rng.sample(usable, min(settings.choices, len(usable)))
    for instance in usable:
        if instance in drawn:
            continue
        view = views.get(instance.name)
        holds = view is not None and bool(prefix_hash) and prefix_hash in view.prefixes
        if holds or instance.name == session_endpoint:
            drawn.append(instance)
    return drawn


def _mean_load(views: list[EndpointView]) -> float:
    """Return the mean reported requests per admitted slot."""
    loads = [
        (v.load.in_flight + v.load.queued) / v.load.limit for v in views if v.load.limit
    ]
    return sum(loads) / len(loads) if loads else 0.0


def _expected_s(
    view: EndpointView,
    mean_load: float,
    now_s: float,
    holds_session: bool,
    prefix_hash: str,
    settings: EndpointSettings,
) -> float:
    """Estimate the seconds until an answer, from a report of some age."""
    limit = view.load.limit or settings.default_limit
    service_s = view.load.service_s or settings.default_service_s
    others = max(0, view.load.in_flight + view.load.queued - view.own_at_report)
    say = 0.5 ** ((now_s - view.reported_at_s) / settings.half_life_s)
    believed = say * others + (1.0 - say) * mean_load * limit
    load = (believed + view.own_in_flight + 1) / limit
    expected_s = service_s * (1.0 + load)
    if prefix_hash and prefix_hash in view.prefixes:
        expected_s -= settings.prefix_gain * service_s
    if holds_session:
        expected_s -= settings.session_gain * service_s
    if now_s - view.failed_at_s < settings.failure_pause_s * view.failures:
        expected_s += service_s * view.failures
    return expected_s


def _decision(
    best: Instance,
    drawn: list[Instance],
    scores: dict[str, float],
    lost: dict[str, Lost],
) -> Decision:
    candidates = [Candidate(best.name, None, scores[best.name])]
    candidates += [
        Candidate(i.name, Lost.BUSY, scores[i.name]) for i in drawn if i is not best
    ]
    candidates += [Candidate(name, why) for name, why in lost.items()]
    return Decision(DecisionKind.ENDPOINT, best.name, tuple(candidates), "least_time")
