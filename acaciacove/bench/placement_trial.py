"""Placement rules under drifting demand, side by side.

Use: ``python -m acaciacove.bench.placement_trial FIRST_SEED LAST_SEED``.
"""

from collections.abc import Callable, Mapping
from statistics import median
from sys import argv

from numpy import exp
from numpy.random import default_rng
from rich.console import Console
from rich.table import Table

from acaciacove.decisions.placement import MAX_MOVES, plan_moves
from acaciacove.decisions.placement_move import PlacementMove
from acaciacove.fleet.version_id import VersionId

VERSIONS = tuple(VersionId(f"model-{n}", "1") for n in range(7))
ENDPOINTS = 120
STEPS = 400
LOADING_STEPS = 3
DRIFT = 0.05
DEMAND = 0.6
OVERLOADED = 0.9
Placed = dict[str, VersionId]
Work = Mapping[VersionId, float]
Rule = Callable[[Placed, Work, frozenset[str]], tuple[PlacementMove, ...]]


def equal_counts(
    placed: Placed, _: Work, moving: frozenset[str]
) -> tuple[PlacementMove, ...]:
    """Balance the number of endpoints per version, whatever they do."""
    return plan_moves(placed, dict.fromkeys(VERSIONS, 1.0), moving)


def greedy_by_work(
    placed: Placed, work: Work, moving: frozenset[str]
) -> tuple[PlacementMove, ...]:
    """Move from the version with most room to the one with least: ours."""
    return plan_moves(placed, work, moving)


def weighted_optimum(
    placed: Placed, work: Work, moving: frozenset[str]
) -> tuple[PlacementMove, ...]:
    """Solve for the counts of least total squared use, and move towards them.

    The program of the paper on shard placement, for one version an endpoint: its
    optimum gives each next endpoint to the version whose cost falls most.
    """
    counts = _optimal_counts(len(placed), work)
    held = dict.fromkeys(VERSIONS, 0)
    for version in placed.values():
        held[version] += 1
    moves: list[PlacementMove] = []
    for name in sorted(placed.keys() - moving):
        giver = placed[name]
        short = [v for v in VERSIONS if held[v] < counts[v]]
        if len(moves) + len(moving) >= MAX_MOVES or not short:
            break
        if held[giver] > counts[giver]:
            receiver = max(short, key=lambda v: work[v] / max(1, held[v]))
            moves.append(PlacementMove(name, receiver, giver))
            held[giver] -= 1
            held[receiver] += 1
    return tuple(moves)


def _optimal_counts(endpoints: int, work: Work) -> dict[VersionId, int]:
    counts = dict.fromkeys(VERSIONS, 1)
    for _ in range(endpoints - len(VERSIONS)):
        best = max(
            VERSIONS, key=lambda v: work[v] ** 2 * (1 / counts[v] - 1 / (counts[v] + 1))
        )
        counts[best] += 1
    return counts


RULES: dict[str, Rule] = {
    "equal_counts": equal_counts,
    "greedy_by_work": greedy_by_work,
    "weighted_optimum": weighted_optimum,
}


def play(rule: Rule, seed: int) -> tuple[float, float, float]:
    """Return the mean of the busiest version's use, time overloaded, and moves."""
    rng = default_rng(seed)
    placed = {f"e{n}": VERSIONS[n % len(VERSIONS)] for n in range(ENDPOINTS)}
    level = rng.normal(0.0, 0.6, len(VERSIONS))
    loading: dict[str, int] = {}
    peak, overloaded, moved = 0.0, 0.0, 0
    for step in range(STEPS):
        level += rng.normal(0.0, DRIFT, len(VERSIONS))
        raw = exp(level)
        work = dict(zip(VERSIONS, DEMAND * ENDPOINTS * raw / raw.sum(), strict=True))
        loading = {name: until for name, until in loading.items() if until > step}
        for move in rule(placed, work, frozenset(loading)):
            placed[move.endpoint] = move.load
            loading[move.endpoint] = step + LOADING_STEPS
            moved += 1
        serving = [v for name, v in placed.items() if name not in loading]
        use = max(work[v] / max(1, serving.count(v)) for v in VERSIONS)
        peak += use / STEPS
        overloaded += (use > OVERLOADED) / STEPS
    return peak, overloaded, float(moved)


def main(first: int, last: int) -> None:
    """Print medians over the seeds."""
    table = Table(title=f"placement, seeds {first} to {last}, medians")
    for column in ("rule", "use of the busiest version", "time overloaded", "moves"):
        table.add_column(column)
    for name, rule in RULES.items():
        found = [play(rule, seed) for seed in range(first, last + 1)]
        figures = [median(part) for part in zip(*found, strict=True)]
        table.add_row(name, *(f"{figure:.3f}" for figure in figures))
    Console(soft_wrap=True).print(table)


if __name__ == "__main__":
    main(int(argv[1]), int(argv[2]))
