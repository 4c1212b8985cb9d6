"""One organisation floods: what the others notice, with a zone leaving too."""

from collections.abc import Iterable

from numpy.random import default_rng

from acaciacove.bench.arrivals import Stream, draw_requests, request_rate
from acaciacove.bench.fake_fleet import FakeFleet
from acaciacove.bench.fake_request import FakeRequest
from acaciacove.bench.fleet_settings import FleetSettings
from acaciacove.bench.measures import jain_index, quantile
from acaciacove.bench.policy_runs import OURS, run_policies
from acaciacove.bench.scenario_report import Figures, ScenarioReport
from acaciacove.bench.scenario_settings import ScenarioSettings
from acaciacove.bench.zone_play import play_zone_move

ZONES = ("ozark", "piedmont", "cumberland", "gulfcoast")
MOVED_ZONE = "gulfcoast"
ORGANISATIONS = 10
LARGE = 3
LARGE_WEIGHT = 3.0
ENDPOINTS = 8
ENTRIES = 3
LOAD = 0.6
DURATION_S = 240.0
WARM_UP_S = 20.0
FLOOD_FACTOR = 10.0
FLOODER = "org-0"
OVERLOAD = 1.6


def run_fairness(settings: ScenarioSettings) -> ScenarioReport:
    """Compare fair queuing with a first-come queue on the same arrivals."""
    figures = run_policies(
        settings,
        {
            OURS: lambda: _run(settings, first_come=False),
            "first_come": lambda: _run(settings, first_come=True),
        },
    )
    ours = figures.pop(OURS, {})
    aims = {
        "others_p99_ratio": (1.2, True),
        "others_first_token_p99_ratio": (1.2, True),
        "jain_overloaded": (0.98, False),
        "jain_zone_move": (0.98, False),
    }
    return ScenarioReport("fairness", settings.seed, ours, figures, aims)


def _run(settings: ScenarioSettings, first_come: bool) -> Figures:
    weights = _weights(settings)
    shape = FleetSettings(
        ZONES,
        settings.endpoints or ENDPOINTS,
        settings.entries or ENTRIES,
        settings.seed,
        weights=weights,
        first_come=first_come,
        report_lag_s=settings.report_lag_s or 0.0,
    )
    calm = _others(_play(shape, _requests(settings, weights, 1.0)))
    flooded = _others(_play(shape, _requests(settings, weights, FLOOD_FACTOR)))
    overload = _jain(shape, settings, weights, zone_move=False)
    moved = _jain(shape, settings, weights, zone_move=True)
    calm_p99_s = quantile((r.latency_s for r in calm if r.ok), 0.99)
    flooded_p99_s = quantile((r.latency_s for r in flooded if r.ok), 0.99)
    calm_first_s = quantile((r.wait_s for r in calm if r.ok), 0.99)
    flooded_first_s = quantile((r.wait_s for r in flooded if r.ok), 0.99)
    return {
        "others_p99_s": flooded_p99_s,
        "others_p99_ratio": flooded_p99_s / calm_p99_s,
        "others_first_token_p99_s": flooded_first_s,
        "others_first_token_p99_ratio": flooded_first_s / calm_first_s,
        "others_unserved": float(sum(not r.ok for r in flooded)),
        "jain_overloaded": overload,
        "jain_zone_move": moved,
    }


def _weights(settings: ScenarioSettings) -> dict[str, float]:
    """Return each organisation's weight; the first few are large."""
    count = settings.organisations or ORGANISATIONS
    return {f"org-{n}": LARGE_WEIGHT if n < LARGE else 1.0 for n in range(count)}


def _requests(
    settings: ScenarioSettings,
    weights: dict[str, float],
    factor: float,
    load: float | None = None,
) -> list[FakeRequest]:
    """Draw every organisation's load by weight; the flooder's is multiplied.

    Each organisation draws from its own generator, so the others send the same
    requests with the flood and without it.
    """
    endpoints = settings.endpoints or ENDPOINTS
    capacity = endpoints * FleetSettings(ZONES, 1, 1, 0).engine.capacity_tokens_per_s()
    offered = load if load is not None else settings.load or LOAD
    rate = request_rate(capacity, offered) / sum(weights.values())
    requests: list[FakeRequest] = []
    for n, (name, weight) in enumerate(weights.items()):
        times = factor if name == FLOODER else 1.0
        stream = Stream(name, rate * weight * times, 0.0, _duration_s(settings))
        requests += draw_requests(stream, default_rng([settings.seed, n]))
    return sorted(requests, key=lambda r: r.arrived_at_s)


def _duration_s(settings: ScenarioSettings) -> float:
    return settings.duration_s or DURATION_S


def _play(shape: FleetSettings, requests: list[FakeRequest]) -> list[FakeRequest]:
    FakeFleet(shape).play(requests, requests[-1].arrived_at_s)
    return [r for r in requests if r.arrived_at_s > WARM_UP_S]


def _others(requests: Iterable[FakeRequest]) -> list[FakeRequest]:
    return [r for r in requests if r.organisation != FLOODER]


def _jain(
    shape: FleetSettings,
    settings: ScenarioSettings,
    weights: dict[str, float],
    zone_move: bool,
) -> float:
    """Overload everyone alike and compare tokens served by weight."""
    requests = _requests(settings, weights, 1.0, OVERLOAD)
    fleet = FakeFleet(shape)
    duration_s = _duration_s(settings)
    if zone_move:
        play_zone_move(fleet, MOVED_ZONE, duration_s / 3.0, duration_s * 2.0 / 3.0)
    fleet.play(requests, duration_s)
    served = dict.fromkeys(weights, 0.0)
    for request in requests:
        if request.ok and WARM_UP_S < request.ended_at_s < duration_s:
            served[request.organisation] += request.tokens
    return jain_index([served[name] / weights[name] for name in weights])
