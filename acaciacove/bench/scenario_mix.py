"""Both deployments: zone move, cold restart and flood at once, all measures weighed."""

from functools import partial

from attrs import evolve, frozen
from numpy.random import default_rng

from acaciacove.bench.arrivals import Stream, draw_requests, request_rate
from acaciacove.bench.cascade_load import TARGET
from acaciacove.bench.deployment import DEPLOYMENTS, Deployment
from acaciacove.bench.endpoint_baselines import least_reported, round_robin
from acaciacove.bench.fake_entry import Choose, choose_ours
from acaciacove.bench.fake_fleet import FakeFleet
from acaciacove.bench.fake_request import FakeRequest
from acaciacove.bench.fleet_settings import FleetSettings
from acaciacove.bench.measures import jain_index, quantile
from acaciacove.bench.policy_runs import OURS, run_policies
from acaciacove.bench.rollout_play import RolloutPlay, RolloutSettings
from acaciacove.bench.rollout_truth import bad
from acaciacove.bench.scenario_cascade import run_cascade
from acaciacove.bench.scenario_report import Figures, ScenarioReport
from acaciacove.bench.scenario_settings import ScenarioSettings
from acaciacove.bench.zone_play import play_zone_move

ORGANISATIONS = 10
FLOODER = "org-0"
FLOOD_FACTOR = 4.0
DURATION_S = 240.0
OUT_AT_S = 80.0
IN_AT_S = 140.0
SETTLED_S = 10.0
WARM_UP_S = 15.0
CASCADE_S = 1200.0
BATCH_SHARE = 0.1
SESSIONS = 40
PREFIXES = 20


@frozen
class MixPolicy:
    """One way to run everything: the cascade's policy by name, and the fleet's."""

    cascade: str
    choose: Choose
    first_come: bool
    ramped: bool
    guarded: bool


def run_mix(settings: ScenarioSettings) -> ScenarioReport:
    """Weigh cost, latency, exposure and zone service as each deployment does.

    A measure's part of the score is its ratio to the best that is possible or
    usual; a lower score is better.
    """
    policies = {
        OURS: MixPolicy(OURS, choose_ours, False, True, True),
        "round_robin_best": MixPolicy("always_best", round_robin(), True, False, False),
        "least_reported_best": MixPolicy(
            "always_best", least_reported, True, False, False
        ),
    }
    runs = {name: partial(_run, settings, policy) for name, policy in policies.items()}
    figures = run_policies(settings, runs)
    ours = figures.pop(OURS, {})
    aims = {
        "least_class_quality": (TARGET, False),
        "exposed_share": (0.01, True),
    }
    aims |= {f"{d.name}_zone_p99_ratio": (1.5, True) for d in DEPLOYMENTS}
    return ScenarioReport("mix", settings.seed, ours, figures, aims)


def _run(settings: ScenarioSettings, policy: MixPolicy) -> Figures:
    figures = _cascade(settings, policy)
    figures["exposed_share"] = _exposed(settings, policy)
    for deployment in DEPLOYMENTS:
        found = _play(settings, deployment, policy)
        figures |= {f"{deployment.name}_{name}": v for name, v in found.items()}
        figures[f"{deployment.name}_score"] = _score(deployment, figures, found)
    return figures


def _cascade(settings: ScenarioSettings, policy: MixPolicy) -> Figures:
    asked = evolve(settings, policy=policy.cascade, duration_s=CASCADE_S)
    report = run_cascade(asked)
    found = report.ours or report.baselines[policy.cascade]
    names = ("least_class_quality", "cost_of_always_best")
    return {name: found[name] for name in names}


def _exposed(settings: ScenarioSettings, policy: MixPolicy) -> float:
    shape = RolloutSettings(settings.seed, rate_per_s=6.0, guarded=policy.guarded)
    found = RolloutPlay(shape, bad).run()
    return found.exposed / found.requests


def _score(deployment: Deployment, figures: Figures, found: Figures) -> float:
    """Weigh the four measures; 1 would be ideal in each."""
    return (
        deployment.cost_weight * figures["cost_of_always_best"]
        + deployment.latency_weight * found["first_token_p95_s"]
        + deployment.exposure_weight * figures["exposed_share"] / 0.01
        + deployment.zone_weight * found["zone_p99_ratio"]
    )


def _play(
    settings: ScenarioSettings, deployment: Deployment, policy: MixPolicy
) -> Figures:
    """Play one deployment; a zone leaves and returns cold while one floods."""
    shape = FleetSettings(
        deployment.zones,
        deployment.endpoints,
        settings.entries or deployment.entries,
        settings.seed,
        choose=policy.choose,
        first_come=policy.first_come,
        ramped=policy.ramped,
        report_lag_s=settings.report_lag_s or 0.0,
    )
    fleet = FakeFleet(shape)
    requests = _requests(settings, deployment, shape)
    play_zone_move(fleet, deployment.moved_zone, OUT_AT_S, IN_AT_S)
    fleet.events.at(IN_AT_S - SETTLED_S, lambda: _restart(fleet, deployment))
    fleet.play(requests, settings.duration_s or DURATION_S)
    others = [r for r in requests if r.organisation != FLOODER]
    return _figures(requests, others)


def _restart(fleet: FakeFleet, deployment: Deployment) -> None:
    for sidecar in fleet.sidecars.values():
        if sidecar.instance.availability_zone == deployment.moved_zone:
            sidecar.engine.restart_empty()
            sidecar.tick()


def _requests(
    settings: ScenarioSettings, deployment: Deployment, shape: FleetSettings
) -> list[FakeRequest]:
    capacity = deployment.endpoints * shape.engine.capacity_tokens_per_s()
    load = settings.load or deployment.load
    count = settings.organisations or ORGANISATIONS
    rate = request_rate(capacity, load) / count
    end_s = settings.duration_s or DURATION_S
    requests: list[FakeRequest] = []
    for n in range(count):
        name = f"org-{n}"
        times = FLOOD_FACTOR if name == FLOODER else 1.0
        stream = Stream(
            name,
            rate * times,
            0.0,
            end_s,
            BATCH_SHARE,
            sessions=SESSIONS,
            prefixes=PREFIXES,
        )
        requests += draw_requests(stream, default_rng([settings.seed, n]))
    return sorted(requests, key=lambda r: r.arrived_at_s)


def _figures(requests: list[FakeRequest], others: list[FakeRequest]) -> Figures:
    steady = [r for r in others if WARM_UP_S <= r.arrived_at_s < OUT_AT_S and r.ok]
    moving = [r for r in others if r.arrived_at_s >= OUT_AT_S + SETTLED_S and r.ok]
    served: dict[str, float] = {}
    for request in others:
        tokens = served.get(request.organisation, 0.0)
        served[request.organisation] = tokens + request.tokens * request.ok
    offered = dict.fromkeys(served, 0.0)
    for request in others:
        offered[request.organisation] += request.tokens
    return {
        "first_token_p95_s": quantile((r.wait_s for r in others if r.ok), 0.95),
        "p99_s": quantile((r.latency_s for r in others if r.ok), 0.99),
        "zone_p99_ratio": quantile((r.latency_s for r in moving), 0.99)
        / quantile((r.latency_s for r in steady), 0.99),
        "others_unserved": float(sum(not r.ok for r in others)),
        "unserved": float(sum(not r.ok for r in requests)),
        "jain_others": jain_index([served[n] / offered[n] for n in served]),
    }
