"""Which endpoint runs an attempt."""

from collections.abc import Collection, Mapping, Sequence
from math import exp
from random import Random
from zlib import crc32

from acaciacove.decisions.candidate import Candidate
from acaciacove.decisions.decision import Decision
from acaciacove.decisions.decision_kind import DecisionKind
from acaciacove.decisions.endpoint_baseline import EndpointBaseline
from acaciacove.decisions.endpoint_decision import EndpointDecision
from acaciacove.decisions.endpoint_settings import EndpointSettings
from acaciacove.decisions.endpoint_view import EndpointView
from acaciacove.decisions.rejection_reason import RejectionReason
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.instance_status import InstanceStatus
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal

DEFAULT_SETTINGS = EndpointSettings()
_REFUSALS = (
    (RejectionReason.LEAVING, Reason.LEAVING),
    (RejectionReason.INSTANCE_OUT, Reason.INSTANCE_OUT),
    (RejectionReason.ZONE_OUT, Reason.AVAILABILITY_ZONE_OUT),
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
    organisation: str = "",
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
        if (reason := _exclusion_reason(instance, fleet, excluded)) is not None
    }
    usable = [instance for instance in candidates if instance.name not in lost]
    if not usable:
        return _refusal(set(lost.values()))
    usable = _without_returning(usable, zone_shares or {}, rng)
    preferred = _preferred_endpoints(usable, session_endpoint, prefix_hash)
    sampled = _sample(usable, views, rng, preferred, settings)
    usual = _baseline([views[i.name] for i in sampled if i.name in views], settings)
    scores = {
        i.name: _expected_s(
            views.get(i.name) or EndpointView(i),
            usual,
            now_s,
            _affinity(i, views, preferred, session_endpoint, prefix_hash, settings),
            organisation,
            settings,
        )
        for i in sampled
    }
    best = min(sampled, key=lambda i: scores[i.name])
    decision = _decision(best, sampled, scores, lost)
    return EndpointDecision(best, scores[best.name], decision)


def _exclusion_reason(
    instance: Instance, fleet: FleetState, excluded: Collection[str]
) -> RejectionReason | None:
    if instance.status is not InstanceStatus.LIVE:
        return RejectionReason.LEAVING
    if instance.availability_zone in fleet.availability_zones_out:
        return RejectionReason.ZONE_OUT
    if instance.name in fleet.instances_out:
        return RejectionReason.INSTANCE_OUT
    if instance.name in excluded:
        return RejectionReason.EXCLUDED
    return None


def _refusal(lost: set[RejectionReason]) -> Refusal:
    for why, reason in _REFUSALS:
        if why in lost and len(lost) == 1:
            return Refusal(reason, not_run=True)
    return Refusal(Reason.NO_ENDPOINT, not_run=True)


def _without_returning(
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


def _sample(
    usable: list[Instance],
    views: Mapping[str, EndpointView],
    rng: Random,
    preferred: Collection[str],
    settings: EndpointSettings,
) -> list[Instance]:
    """Draw a few at random, and those with affinity.

    More are drawn where most of the load is the entry's own, which it knows exactly.
    With more choices from reports that lag, all entries would meet on the endpoints
    that were emptiest a moment ago, and their requests would wait there.
    """
    known = [views[i.name] for i in usable if i.name in views]
    own = sum(view.own_in_flight for view in known)
    all_ = sum(view.at_endpoint for view in known)
    exact = all_ > 0 and own >= settings.own_share * all_
    choices = settings.exact_choices if exact else settings.choices
    sampled = rng.sample(usable, min(choices, len(usable)))
    sampled += [i for i in usable if i.name in preferred and i not in sampled]
    return sampled


def _preferred_endpoints(
    usable: list[Instance], session_endpoint: str, prefix_hash: str
) -> set[str]:
    """Name the endpoints of the session and of the prompt's prefix.

    A prefix lives where rendezvous hashing puts it. Every entry computes the same
    place, so no cache event has to arrive for its requests to meet there.
    """
    preferred = {session_endpoint} if session_endpoint else set()
    if prefix_hash:
        preferred.add(max(usable, key=lambda i: _rank(i.name, prefix_hash)).name)
    return preferred


def _rank(name: str, prefix_hash: str) -> int:
    return crc32(f"{prefix_hash}/{name}".encode())


def _baseline(
    views: list[EndpointView], settings: EndpointSettings
) -> EndpointBaseline:
    """Average the reports of the endpoints that are compared."""
    told = [v for v in views if v.load.limit]
    if not told:
        return EndpointBaseline(0.0, settings.default_service_s, settings.default_limit)
    services = [v.load.service_s for v in told if v.load.service_s]
    return EndpointBaseline(
        sum(v.at_endpoint for v in told) / sum(v.load.limit for v in told),
        sum(services) / len(services) if services else settings.default_service_s,
        max(v.load.limit for v in told),
    )


def _affinity(
    instance: Instance,
    views: Mapping[str, EndpointView],
    preferred: Collection[str],
    session_endpoint: str,
    prefix_hash: str,
    settings: EndpointSettings,
) -> float:
    """Return the share of a service time that caches at an endpoint save."""
    if instance.name == session_endpoint:
        return settings.session_gain
    view = views.get(instance.name)
    sent_there = view is not None and prefix_hash in view.prefixes
    return settings.prefix_gain if sent_there or instance.name in preferred else 0.0


def _expected_s(
    view: EndpointView,
    usual: EndpointBaseline,
    now_s: float,
    affinity: float,
    organisation: str,
    settings: EndpointSettings,
) -> float:
    """Estimate the seconds until an answer, from a report of some age."""
    limit = view.load.limit or usual.limit
    fade_s = max(settings.min_fade_s, settings.fade_services * usual.service_s)
    say = exp((view.reported_at_s - now_s) / fade_s)
    unheard = max(float(view.own_in_flight), usual.load * limit)
    believed = say * view.at_endpoint + (1.0 - say) * unheard
    believed = min(believed, max(settings.queue_cap * limit, view.own_in_flight))
    slower = view.load.service_s / (settings.slower_factor * usual.service_s)
    service_s = usual.service_s * max(1.0, slower)
    expected_s = service_s * (1.0 + (believed + 1.0) / limit)
    alike = view.by_organisation[organisation]
    expected_s += settings.spread_weight * service_s * alike / limit
    crowding = believed + 1.0 - settings.full_share * limit
    if crowding > 0.0:
        return expected_s + settings.wait_weight * service_s * crowding / limit
    expected_s -= affinity * service_s
    if now_s - view.failed_at_s < settings.failure_pause_s * view.failures:
        expected_s += service_s * view.failures
    return expected_s


def _decision(
    best: Instance,
    sampled: list[Instance],
    scores: dict[str, float],
    lost: dict[str, RejectionReason],
) -> Decision:
    candidates = [Candidate(best.name, None, scores[best.name])]
    candidates += [
        Candidate(i.name, RejectionReason.BUSY, scores[i.name])
        for i in sampled
        if i is not best
    ]
    candidates += [Candidate(name, why) for name, why in lost.items()]
    return Decision(DecisionKind.ENDPOINT, best.name, tuple(candidates), "least_time")
