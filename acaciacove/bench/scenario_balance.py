"""Even load from reports that lag, from one entry to hundreds."""

from attrs import evolve
from numpy.random import default_rng

from acaciacove.bench.arrivals import Stream, draw_requests, request_rate
from acaciacove.bench.endpoint_baselines import (
    least_reported,
    round_robin,
    shortest_queue,
)
from acaciacove.bench.fake_entry import Choose, choose_ours
from acaciacove.bench.fake_fleet import FakeFleet
from acaciacove.bench.fake_request import FakeRequest
from acaciacove.bench.fleet_settings import FleetSettings
from acaciacove.bench.measures import quantile
from acaciacove.bench.policy_runs import OURS, run_policies
from acaciacove.bench.scenario_report import Figures, ScenarioReport
from acaciacove.bench.scenario_settings import ScenarioSettings

ZONES = ("ozark", "piedmont", "cumberland", "gulfcoast")
ENDPOINTS = 36
ENTRY_COUNTS = (1, 24, 380)
LOAD = 0.8
DURATION_S = 90.0
WARM_UP_S = 15.0
REPORT_LAG_S = 0.5
SESSIONS = 400
PREFIXES = 200


def run_balance(settings: ScenarioSettings) -> ScenarioReport:
    """Compare with perfect knowledge, round robin and least reported load."""
    requests = _requests(settings)
    perfect = _run(settings, requests, shortest_queue, 1)

    def run(choose: Choose) -> Figures:
        return _over_counts(settings, requests, choose, perfect)

    figures = run_policies(
        settings,
        {
            OURS: lambda: run(choose_ours),
            "perfect_shortest_queue": lambda: perfect,
            "round_robin": lambda: run(round_robin()),
            "least_reported": lambda: run(least_reported),
        },
    )
    ours = figures.pop(OURS, {})
    aims = {f"p99_over_perfect_{count}": (1.3, True) for count in _counts(settings)}
    return ScenarioReport("balance", settings.seed, ours, figures, aims)


def _counts(settings: ScenarioSettings) -> tuple[int, ...]:
    return (settings.entries,) if settings.entries else ENTRY_COUNTS


def _over_counts(
    settings: ScenarioSettings,
    requests: list[FakeRequest],
    choose: Choose,
    perfect: Figures,
) -> Figures:
    figures: Figures = {}
    for count in _counts(settings):
        found = _run(settings, requests, choose, count)
        figures[f"p99_over_perfect_{count}"] = found["p99_s"] / perfect["p99_s"]
        figures[f"first_token_p95_s_{count}"] = found["first_token_p95_s"]
        figures[f"first_token_p99_over_perfect_{count}"] = (
            found["first_token_p99_s"] / perfect["first_token_p99_s"]
        )
        figures[f"cached_share_{count}"] = found["cached_share"]
    return figures


def _requests(settings: ScenarioSettings) -> list[FakeRequest]:
    engine = FleetSettings(ZONES, 1, 1, 0).engine
    capacity = (settings.endpoints or ENDPOINTS) * engine.capacity_tokens_per_s()
    rate = request_rate(capacity, settings.load or LOAD)
    end_s = settings.duration_s or DURATION_S
    stream = Stream("bench", rate, 0.0, end_s, sessions=SESSIONS, prefixes=PREFIXES)
    return draw_requests(stream, default_rng(settings.seed))


def _run(
    settings: ScenarioSettings,
    requests: list[FakeRequest],
    choose: Choose,
    entries: int,
) -> Figures:
    lag_s = REPORT_LAG_S if settings.report_lag_s is None else settings.report_lag_s
    shape = FleetSettings(
        ZONES,
        settings.endpoints or ENDPOINTS,
        entries,
        settings.seed,
        choose=choose,
        report_lag_s=lag_s,
    )
    played = [evolve(request) for request in requests]
    fleet = FakeFleet(shape)
    fleet.play(played, played[-1].arrived_at_s)
    counted = [r for r in played if r.ok and r.arrived_at_s > WARM_UP_S]
    engines = [sidecar.engine for sidecar in fleet.sidecars.values()]
    return {
        "p99_s": quantile((r.latency_s for r in counted), 0.99),
        "first_token_p95_s": quantile((r.wait_s for r in counted), 0.95),
        "first_token_p99_s": quantile((r.wait_s for r in counted), 0.99),
        "unserved": float(sum(not r.ok for r in played)),
        "cached_share": sum(e.hits for e in engines) / len(played),
    }
