"""An availability zone leaves at short notice and returns."""

from numpy.random import default_rng

from acaciacove.bench.arrivals import Stream, draw_requests, request_rate
from acaciacove.bench.endpoint_baselines import least_reported, round_robin
from acaciacove.bench.fake_entry import Choose, choose_ours
from acaciacove.bench.fake_fleet import FakeFleet
from acaciacove.bench.fake_request import FakeRequest
from acaciacove.bench.fleet_settings import FleetSettings
from acaciacove.bench.measures import quantile
from acaciacove.bench.policy_runs import OURS, run_policies
from acaciacove.bench.scenario_report import Figures, ScenarioReport
from acaciacove.bench.scenario_settings import ScenarioSettings
from acaciacove.bench.zone_play import play_zone_move

ZONES = ("ozark", "piedmont", "cumberland", "gulfcoast")
MOVED_ZONE = "gulfcoast"
ENDPOINTS = 12
ENTRIES = 3
LOAD = 0.65
DURATION_S = 300.0
OUT_AT_S = 100.0
IN_AT_S = 180.0
WARM_UP_S = 20.0
SETTLED_S = 10.0
NO_NEW_WORK_S = 3.0
SESSIONS = 60
PREFIXES = 60


def run_zone_move(settings: ScenarioSettings) -> ScenarioReport:
    """Compare with simple endpoint choices that return at full share at once."""
    figures = run_policies(
        settings,
        {
            OURS: lambda: _run(settings, choose_ours),
            "round_robin": lambda: _run(settings, round_robin()),
            "least_reported": lambda: _run(settings, least_reported),
        },
    )
    ours = figures.pop(OURS, {})
    aims = {
        "failed_or_cut": (0.0, True),
        "late_starts_in_zone": (0.0, True),
        "p99_ratio_after_out": (1.5, True),
        "p99_ratio_after_return": (1.5, True),
    }
    return ScenarioReport("zone_move", settings.seed, ours, figures, aims)


def _run(settings: ScenarioSettings, choose: Choose) -> Figures:
    shape = FleetSettings(
        ZONES,
        settings.endpoints or ENDPOINTS,
        settings.entries or ENTRIES,
        settings.seed,
        choose=choose,
        report_lag_s=settings.report_lag_s or 0.0,
    )
    fleet = FakeFleet(shape)
    requests = _requests(settings, shape)
    play_zone_move(fleet, MOVED_ZONE, OUT_AT_S, IN_AT_S)
    fleet.events.at(IN_AT_S, lambda: _turn_cold(fleet))
    fleet.play(requests, settings.duration_s or DURATION_S)
    return _figures(requests)


def _turn_cold(fleet: FakeFleet) -> None:
    """Restart the zone's endpoints while it is out."""
    for sidecar in fleet.sidecars.values():
        if sidecar.instance.availability_zone == MOVED_ZONE:
            sidecar.engine.turn_cold()
            sidecar.tick()


def _requests(settings: ScenarioSettings, shape: FleetSettings) -> list[FakeRequest]:
    capacity = shape.endpoints * shape.engine.capacity_tokens_per_s()
    rate = request_rate(capacity, settings.load or LOAD)
    end_s = settings.duration_s or DURATION_S
    stream = Stream("bench", rate, 0.0, end_s, sessions=SESSIONS, prefixes=PREFIXES)
    return draw_requests(stream, default_rng(settings.seed))


def _figures(requests: list[FakeRequest]) -> Figures:
    steady = _p99_s(requests, WARM_UP_S, OUT_AT_S)
    first_steady = _first_p95_s(requests, WARM_UP_S, OUT_AT_S)
    first_out = _first_p95_s(requests, OUT_AT_S, IN_AT_S)
    first_back = _first_p95_s(requests, IN_AT_S, float("inf"))
    out = _p99_s(requests, OUT_AT_S + SETTLED_S, IN_AT_S)
    back = _p99_s(requests, IN_AT_S + SETTLED_S, float("inf"))
    late = [
        r
        for r in requests
        if r.endpoint.startswith(MOVED_ZONE)
        and OUT_AT_S + NO_NEW_WORK_S < r.started_at_s < IN_AT_S
    ]
    return {
        "failed_or_cut": float(sum(not r.ok for r in requests)),
        "late_starts_in_zone": float(len(late)),
        "steady_p99_s": steady,
        "p99_ratio_after_out": out / steady,
        "p99_ratio_after_return": back / steady,
        "first_token_p95_s_steady": first_steady,
        "first_token_p95_s_out": first_out,
        "first_token_p95_s_return": first_back,
    }


def _p99_s(requests: list[FakeRequest], start_s: float, end_s: float) -> float:
    return quantile(
        (r.latency_s for r in requests if start_s <= r.arrived_at_s < end_s and r.ok),
        0.99,
    )


def _first_p95_s(requests: list[FakeRequest], start_s: float, end_s: float) -> float:
    return quantile(
        (r.wait_s for r in requests if start_s <= r.arrived_at_s < end_s and r.ok),
        0.95,
    )
