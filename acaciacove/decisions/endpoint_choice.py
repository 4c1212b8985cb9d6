"""Chooses the endpoint of an attempt."""

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
    """Choose among the entry's subset of endpoints of one version.

    A few endpoints are sampled at random; the preferred endpoints of the session and
    of the prompt's prefix are added. The lowest expected time wins. A comparison of
    all endpoints by outdated load reports would send all entries to the same least
    loaded endpoint at once. ``zone_shares`` (from ``ZoneMoves``) lowers the share of a
    zone that is returning to service.
    """
    rejected = {
        instance.name: reason
        for instance in candidates
        if (reason := _exclusion_reason(instance, fleet, excluded)) is not None
    }
    usable = [instance for instance in candidates if instance.name not in rejected]
    if not usable:
        return _refusal(set(rejected.values()))
    usable = _without_returning(usable, zone_shares or {}, rng)
    preferred = _preferred_endpoints(usable, session_endpoint, prefix_hash)
    sampled = _sample(usable, views, rng, preferred, settings)
    baseline = _baseline([views[i.name] for i in sampled if i.name in views], settings)
    scores = {
        i.name: _expected_s(
            views.get(i.name) or EndpointView(i),
            baseline,
            now_s,
            _affinity(i, views, preferred, session_endpoint, prefix_hash, settings),
            organisation,
            settings,
        )
        for i in sampled
    }
    best = min(sampled, key=lambda i: scores[i.name])
    decision = _decision(best, sampled, scores, rejected)
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


def _refusal(rejected: set[RejectionReason]) -> Refusal:
    for why, reason in _REFUSALS:
        if why in rejected and len(rejected) == 1:
            return Refusal(reason, not_run=True)
    return Refusal(Reason.NO_ENDPOINT, not_run=True)


def _without_returning(
    usable: list[Instance], zone_shares: Mapping[str, float], rng: Random
) -> list[Instance]:
    """Leave out endpoints of returning zones at random, but never all endpoints."""
    if all(share >= 1.0 for share in zone_shares.values()):
        return usable
    retained = [
        instance
        for instance in usable
        if rng.random() < zone_shares.get(instance.availability_zone, 1.0)
    ]
    return retained or usable


def _sample(
    usable: list[Instance],
    views: Mapping[str, EndpointView],
    rng: Random,
    preferred: Collection[str],
    settings: EndpointSettings,
) -> list[Instance]:
    """Return a few endpoints at random, and the preferred ones.

    More are sampled if at least ``own_share`` of the load comes from this entry, since
    it knows its own requests exactly. With a larger sample and outdated reports, all
    entries would choose the endpoints that were least loaded at the last report, and
    their requests would queue there.
    """
    known_views = [views[i.name] for i in usable if i.name in views]
    local_load = sum(view.own_in_flight for view in known_views)
    total_load = sum(view.at_endpoint for view in known_views)
    is_exact = total_load > 0 and local_load >= settings.own_share * total_load
    choices = settings.exact_choices if is_exact else settings.choices
    sampled = rng.sample(usable, min(choices, len(usable)))
    sampled += [i for i in usable if i.name in preferred and i not in sampled]
    return sampled


def _preferred_endpoints(
    usable: list[Instance], session_endpoint: str, prefix_hash: str
) -> set[str]:
    """Return the preferred endpoints of the session and of the prompt's prefix.

    The endpoint of a prefix is found by rendezvous hashing. All entries compute the
    same one, so they need no cache event to send its requests to the same endpoint.
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
    """Return the average of the load reports of the compared endpoints."""
    reported_views = [v for v in views if v.load.limit]
    if not reported_views:
        return EndpointBaseline(0.0, settings.default_service_s, settings.default_limit)
    service_times_s = [v.load.service_s for v in reported_views if v.load.service_s]
    return EndpointBaseline(
        sum(v.at_endpoint for v in reported_views)
        / sum(v.load.limit for v in reported_views),
        sum(service_times_s) / len(service_times_s)
        if service_times_s
        else settings.default_service_s,
        max(v.load.limit for v in reported_views),
    )


def _affinity(
    instance: Instance,
    views: Mapping[str, EndpointView],
    preferred: Collection[str],
    session_endpoint: str,
    prefix_hash: str,
    settings: EndpointSettings,
) -> float:
    """Return the share of the service time that an endpoint's caches save."""
    if instance.name == session_endpoint:
        return settings.session_gain
    view = views.get(instance.name)
    has_prefix = view is not None and prefix_hash in view.prefixes
    return settings.prefix_gain if has_prefix or instance.name in preferred else 0.0


def _expected_s(
    view: EndpointView,
    baseline: EndpointBaseline,
    now_s: float,
    affinity: float,
    organisation: str,
    settings: EndpointSettings,
) -> float:
    """Return the expected seconds until the answer, from a report of some age."""
    limit = view.load.limit or baseline.limit
    fade_s = max(settings.min_fade_s, settings.fade_services * baseline.service_s)
    report_weight = exp((view.reported_at_s - now_s) / fade_s)
    fallback_load = max(float(view.own_in_flight), baseline.load * limit)
    estimated_load = (
        report_weight * view.at_endpoint + (1.0 - report_weight) * fallback_load
    )
    estimated_load = min(
        estimated_load, max(settings.queue_cap * limit, view.own_in_flight)
    )
    slowdown = view.load.service_s / (settings.slower_factor * baseline.service_s)
    service_s = baseline.service_s * max(1.0, slowdown)
    expected_s = service_s * (1.0 + (estimated_load + 1.0) / limit)
    same_organisation = view.by_organisation[organisation]
    expected_s += settings.spread_weight * service_s * same_organisation / limit
    excess_load = estimated_load + 1.0 - settings.full_share * limit
    if excess_load > 0.0:
        return expected_s + settings.wait_weight * service_s * excess_load / limit
    expected_s -= affinity * service_s
    if now_s - view.failed_at_s < settings.failure_pause_s * view.failures:
        expected_s += service_s * view.failures
    return expected_s


def _decision(
    best: Instance,
    sampled: list[Instance],
    scores: dict[str, float],
    rejected: dict[str, RejectionReason],
) -> Decision:
    candidates = [Candidate(best.name, None, scores[best.name])]
    candidates += [
        Candidate(i.name, RejectionReason.BUSY, scores[i.name])
        for i in sampled
        if i is not best
    ]
    candidates += [Candidate(name, why) for name, why in rejected.items()]
    return Decision(DecisionKind.ENDPOINT, best.name, tuple(candidates), "least_time")
