"""Endpoints that start cold, and one that turns cold without a word."""

from attrs import evolve
from numpy.random import default_rng

from acaciacove.bench.arrivals import Stream, draw_requests, request_rate
from acaciacove.bench.engine_settings import EngineSettings
from acaciacove.bench.fake_fleet import FakeFleet
from acaciacove.bench.fake_request import FakeRequest
from acaciacove.bench.fake_sidecar import FakeSidecar
from acaciacove.bench.fleet_settings import FleetSettings
from acaciacove.bench.measures import quantile
from acaciacove.bench.policy_runs import OURS, run_policies
from acaciacove.bench.scenario_report import Figures, ScenarioReport
from acaciacove.bench.scenario_settings import ScenarioSettings

ZONES = ("agadir-a", "agadir-b", "tiznit")
ENDPOINTS = 6
ENTRIES = 3
LOAD = 0.7
DURATION_S = 240.0
RESTART_AT_S = 40.0
SILENT_AT_S = 130.0
POWERS = (1.0, 2.0, 3.0)


def run_cold_start(settings: ScenarioSettings) -> ScenarioReport:
    """Compare the ramp with none, for endpoints that warm in several ways."""
    figures = run_policies(
        settings,
        {
            OURS: lambda: _over_powers(settings, ramped=True),
            "no_ramp": lambda: _over_powers(settings, ramped=False),
        },
    )
    ours = figures.pop(OURS, {})
    aims = {
        "over_announced": (0.0, True),
        "over_after_noticed": (0.0, True),
        "full_service_warm_ups": (1.5, True),
    }
    return ScenarioReport("cold_start", settings.seed, ours, figures, aims)


def _over_powers(settings: ScenarioSettings, ramped: bool) -> Figures:
    """Sum or take the worst over endpoints that warm early, evenly or late."""
    found = [_run(settings, ramped, power) for power in POWERS]
    figures = {
        "over_announced": sum(f["over_announced"] for f in found),
        "over_before_noticed": sum(f["over_before_noticed"] for f in found),
        "over_after_noticed": sum(f["over_after_noticed"] for f in found),
        "p99_s": max(f["p99_s"] for f in found),
        "first_token_p95_s": max(f["first_token_p95_s"] for f in found),
        "unserved": sum(f["unserved"] for f in found),
    }
    if ramped:
        name = "full_service_warm_ups"
        figures[name] = max(f[name] for f in found)
        figures["noticed_after_s"] = max(f["noticed_after_s"] for f in found)
    return figures


def _run(settings: ScenarioSettings, ramped: bool, power: float) -> Figures:
    shape = FleetSettings(
        ZONES,
        settings.endpoints or ENDPOINTS,
        settings.entries or ENTRIES,
        settings.seed,
        engine=evolve(EngineSettings(), warm_up_power=power),
        ramped=ramped,
        report_lag_s=settings.report_lag_s or 0.0,
    )
    fleet = FakeFleet(shape)
    announced, silent, *_ = fleet.sidecars.values()
    marks: dict[str, float] = {}
    fleet.events.at(RESTART_AT_S, lambda: _restart(announced))
    fleet.events.at(SILENT_AT_S - 1.0, lambda: _mark_over(marks, announced))
    fleet.events.at(SILENT_AT_S, silent.engine.turn_cold_silently)
    fleet.every(0.05, DURATION_S, lambda: _watch(fleet, marks, announced, silent))
    requests = _requests(settings, shape)
    fleet.play(requests, settings.duration_s or DURATION_S)
    before = marks.get("over_at_notice", float(silent.engine.over_count))
    return {
        "over_announced": marks["over_announced"],
        "over_before_noticed": before,
        "over_after_noticed": silent.engine.over_count - before,
        "full_service_warm_ups": (marks.get("full_at_s", float("inf")) - RESTART_AT_S)
        / shape.engine.warm_up_s,
        "noticed_after_s": marks.get("noticed_at_s", float("inf")) - SILENT_AT_S,
        "p99_s": quantile((r.latency_s for r in requests if r.ok), 0.99),
        "first_token_p95_s": quantile((r.wait_s for r in requests if r.ok), 0.95),
        "unserved": float(sum(not r.ok for r in requests)),
    }


def _restart(sidecar: FakeSidecar) -> None:
    """Restart an idle-drained endpoint: its sidecar starts with it, and knows."""
    sidecar.engine.restart_empty()
    sidecar.tick()


def _mark_over(marks: dict[str, float], sidecar: FakeSidecar) -> None:
    marks["over_announced"] = float(sidecar.engine.over_count)


def _watch(
    fleet: FakeFleet,
    marks: dict[str, float],
    announced: FakeSidecar,
    silent: FakeSidecar,
) -> None:
    """Note when the restarted endpoint is in full service, and the silent one seen."""
    now_s = fleet.events.now_s
    warm = announced.engine.settings.warm_bears
    if now_s > RESTART_AT_S + 1.0 and announced.limit() >= warm:
        marks.setdefault("full_at_s", now_s)
    noticed = silent.ramp is not None and not silent.ramp.warm
    if now_s > SILENT_AT_S and noticed and "noticed_at_s" not in marks:
        marks["noticed_at_s"] = now_s
        marks["over_at_notice"] = float(silent.engine.over_count)


def _requests(settings: ScenarioSettings, shape: FleetSettings) -> list[FakeRequest]:
    capacity = shape.endpoints * shape.engine.capacity_tokens_per_s()
    rate = request_rate(capacity, settings.load or LOAD)
    end_s = settings.duration_s or DURATION_S
    return draw_requests(Stream("bench", rate, 0.0, end_s), default_rng(settings.seed))
