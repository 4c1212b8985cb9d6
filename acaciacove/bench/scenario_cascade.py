"""Cost at the quality target: plans learned from late, biased ratings."""

from heapq import heappop, heappush
from random import Random

from attrs import define, field

from acaciacove.bench.answer_model import Floats
from acaciacove.bench.cascade_load import (
    API_NAME,
    CLASSES,
    TARGET,
    CascadeLoad,
    cascade_versions,
    draw_cascade_load,
)
from acaciacove.bench.cascade_oracle import (
    clairvoyant_costs,
    oracle_costs,
    signal_oracle_costs,
)
from acaciacove.bench.policy_runs import OURS, run_policies
from acaciacove.bench.scenario_report import Figures, ScenarioReport
from acaciacove.bench.scenario_settings import ScenarioSettings
from acaciacove.decisions.cascade import should_escalate
from acaciacove.decisions.plan_cache import PlanCache
from acaciacove.decisions.quality_estimates import QualityEstimates
from acaciacove.decisions.rated_class import RatedClass, signal_bin
from acaciacove.decisions.version_choice import choose_version
from acaciacove.fleet.api import Api
from acaciacove.fleet.api_kind import ApiKind
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.organisation import ANY_VERSION, Organisation
from acaciacove.fleet.version_id import VersionId
from acaciacove.refusal import Refusal

DURATION_S = 3600.0
RATE_PER_S = 10.0
RATED_SHARE = 0.1
RATING_DELAY_S = 60.0
ENTRIES = 4
EXCHANGE_S = 1.0
EXCHANGED_CELLS = 32

_VERSIONS = cascade_versions()
_API = Api(API_NAME, ApiKind.MODEL, TARGET)
_FLEET = FleetState(apis={API_NAME: _API}, versions=_VERSIONS)
_ORGANISATION = Organisation(
    "bench", allowed={v.model: (ANY_VERSION,) for v in _VERSIONS}
)
_CHEAPEST, *_, _BEST = _VERSIONS


@define
class _Served:
    """Sums over what was delivered and paid."""

    cost: float = 0.0
    quality: dict[str, float] = field(factory=dict)
    count: dict[str, int] = field(factory=dict)
    late_cost: float = 0.0
    escalated: int = 0

    def add(self, request_class: str, quality: float) -> None:
        """Count one delivered answer."""
        self.quality[request_class] = self.quality.get(request_class, 0.0) + quality
        self.count[request_class] = self.count.get(request_class, 0) + 1


@define
class _Entry:
    """One entry's learned state."""

    estimates: QualityEstimates
    plans: PlanCache


def run_cascade(settings: ScenarioSettings) -> ScenarioReport:
    """Compare cost and quality with fixed choices and with two oracles."""
    load = draw_cascade_load(
        settings.seed,
        settings.duration_s or DURATION_S,
        settings.rate_per_s or RATE_PER_S,
        RATED_SHARE if settings.rated_share is None else settings.rated_share,
        settings.rating_delay_s or RATING_DELAY_S,
    )
    figures = run_policies(
        settings,
        {
            OURS: lambda: _run_ours(load, settings),
            "always_best": lambda: _fixed(load, _BEST),
            "always_cheapest": lambda: _fixed(load, _CHEAPEST),
            "oracle": lambda: _seen(load, oracle_costs(load, _VERSIONS)),
            "oracle_on_our_signals": lambda: _seen(
                load, signal_oracle_costs(load, _VERSIONS)
            ),
            "clairvoyant": lambda: _seen(load, clairvoyant_costs(load, _VERSIONS)),
        },
    )
    ours = figures.pop(OURS, {})
    aims = {
        "least_class_quality": (TARGET, False),
        "mean_quality": (TARGET, False),
        "cost_of_always_best": (0.45, True),
        "cost_over_oracle": (1.15, True),
    }
    return ScenarioReport("cascade", settings.seed, ours, figures, aims)


def _run_ours(load: CascadeLoad, settings: ScenarioSettings) -> Figures:
    """Serve every request by the real decisions, over a few entries that share."""
    rng = Random(settings.seed)
    entries = [_entry(f"entry-{n}") for n in range(settings.entries or ENTRIES)]
    due: list[tuple[float, int, VersionId, str, float]] = []
    served = _Served()
    next_exchange_s = EXCHANGE_S
    half_s = float(load.arrivals_s[-1]) / 2.0
    for at, now_s in enumerate(load.arrivals_s):
        while due and due[0][0] <= now_s:
            _, sequence, version, rated_class, score = heappop(due)
            reader = entries[sequence % len(entries)]
            reader.estimates.record_rating(version, rated_class, score, sequence)
        while next_exchange_s <= now_s:
            _exchange(entries, rng)
            next_exchange_s += EXCHANGE_S
        before = served.cost
        for version, rated_class in _serve(load, at, rng.choice(entries), rng, served):
            if load.rated[version][at]:
                due_s = float(now_s + load.delays_s[at])
                score = float(load.ratings[version][at])
                heappush(due, (due_s, at, version, rated_class, score))
        if now_s > half_s:
            served.late_cost += served.cost - before
    return _figures(load, served, half_s)


def _entry(name: str) -> _Entry:
    estimates = QualityEstimates(name)
    return _Entry(estimates, PlanCache(estimates))


def _exchange(entries: list[_Entry], rng: Random) -> None:
    """Each entry sends a few counters to one peer."""
    for entry in entries:
        peer = rng.choice(entries)
        cells = entry.estimates.export_delta(EXCHANGED_CELLS)
        if peer is not entry:
            peer.estimates.merge(cells)


def _serve(
    load: CascadeLoad, at: int, entry: _Entry, rng: Random, served: _Served
) -> list[tuple[VersionId, str]]:
    """Answer one request; returns the answers handed to the rating service."""
    request_class = load.classes[at]
    chosen = choose_version(
        _FLEET, _ORGANISATION, _API, request_class, entry.plans, rng
    )
    assert not isinstance(chosen, Refusal)
    answers: list[tuple[VersionId, str]] = []
    after, first_bin = "", 0
    for version in chosen.ladder:
        signal = float(load.signals[version][at])
        price = _VERSIONS[version].cost_per_1k_tokens
        served.cost += price * float(load.tokens[at]) / 1000.0
        if not answers:
            first_bin = signal_bin(signal)
            entry.estimates.record_answer(version, request_class, first_bin)
        answers.append((version, str(RatedClass(request_class, after, first_bin))))
        after = str(version)
        if len(answers) > 1 or not should_escalate(chosen, signal, rng):
            break
    served.escalated += len(answers) - 1
    served.add(request_class, float(load.qualities[answers[-1][0]][at]))
    return answers


def _figures(load: CascadeLoad, served: _Served, half_s: float) -> Figures:
    late = load.arrivals_s > half_s
    oracle = oracle_costs(load, _VERSIONS)
    foresight = clairvoyant_costs(load, _VERSIONS)
    best = _costs(load, _BEST)
    return {
        "least_class_quality": min(
            served.quality[c] / served.count[c] for c in CLASSES
        ),
        "mean_quality": sum(served.quality.values()) / sum(served.count.values()),
        "cost_of_always_best": served.cost / float(best.sum()),
        "cost_over_oracle": served.cost / float(oracle.sum()),
        "cost_over_oracle_second_half": served.late_cost / float(oracle[late].sum()),
        "cost_over_clairvoyant": served.cost / float(foresight.sum()),
        "escalated_share": served.escalated / len(load.classes),
    }


def _costs(load: CascadeLoad, version: VersionId) -> Floats:
    return _VERSIONS[version].cost_per_1k_tokens * load.tokens / 1000.0


def _fixed(load: CascadeLoad, version: VersionId) -> Figures:
    figures = _seen(load, _costs(load, version))
    qualities = load.qualities[version]
    by_class = [
        float(qualities[[c == name for c in load.classes]].mean()) for name in CLASSES
    ]
    return {
        "least_class_quality": min(by_class),
        "mean_quality": float(qualities.mean()),
        **figures,
    }


def _seen(load: CascadeLoad, costs: Floats) -> Figures:
    best, oracle = _costs(load, _BEST), oracle_costs(load, _VERSIONS)
    return {
        "cost_of_always_best": float(costs.sum() / best.sum()),
        "cost_over_oracle": float(costs.sum() / oracle.sum()),
    }
