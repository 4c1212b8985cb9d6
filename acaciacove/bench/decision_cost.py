"""Processor time of one decision, by the size of the fleet.

Use: ``python -m acaciacove.bench.decision_cost``.
"""

from random import Random
from time import process_time

from rich.console import Console
from rich.table import Table

from acaciacove.bench.cascade_load import API_NAME, CLASSES, TARGET, cascade_versions
from acaciacove.decisions.endpoint_choice import choose_endpoint
from acaciacove.decisions.endpoint_view import EndpointView
from acaciacove.decisions.plan_cache import PlanCache
from acaciacove.decisions.quality_estimates import QualityEstimates
from acaciacove.decisions.subset import choose_subset
from acaciacove.decisions.version_choice import choose_version
from acaciacove.fleet.api import Api
from acaciacove.fleet.api_kind import ApiKind
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.organisation import ANY_VERSION, Organisation
from acaciacove.fleet.role import Role
from acaciacove.messages.load import Load

SIZES = ((3, 9), (40, 120), (380, 600))
ZONES = tuple(f"zone-{n}" for n in range(5))
REPEATS = 4000
MICROSECONDS = 1e6


def time_endpoint_choice(entries: int, endpoints: int) -> tuple[int, float]:
    """Return the size of one entry's set, and microseconds a choice."""
    names = [f"entry-{n}" for n in range(entries)]
    instances = [
        Instance(f"e{n}", Role.ENDPOINT, "r", ZONES[n % len(ZONES)], "127.0.0.1", 1)
        for n in range(endpoints)
    ]
    subset = choose_subset(names[0], names, instances)
    views = {i.name: EndpointView(i) for i in subset}
    for number, view in enumerate(views.values()):
        view.reported(Load(number % 8, 0, 8, service_s=1.0), 0.0)
    rng, fleet = Random(1), FleetState()
    started_s = process_time()
    for _ in range(REPEATS):
        choose_endpoint(subset, views, 0.5, rng, fleet, prefix_hash="p")
    return len(subset), (process_time() - started_s) / REPEATS * MICROSECONDS


def time_version_choice() -> float:
    """Return microseconds a choice among the bench's versions."""
    versions = cascade_versions()
    api = Api(API_NAME, ApiKind.MODEL, TARGET)
    fleet = FleetState(apis={API_NAME: api}, versions=versions)
    asking = Organisation("o", allowed={v.model: (ANY_VERSION,) for v in versions})
    plans, rng = PlanCache(QualityEstimates("bench")), Random(1)
    started_s = process_time()
    for _ in range(REPEATS):
        choose_version(fleet, asking, api, CLASSES[0], plans, rng)
    return (process_time() - started_s) / REPEATS * MICROSECONDS


def main() -> None:
    """Print one row a size."""
    table = Table(title="processor time of one decision")
    for column in ("entries", "endpoints", "in the set", "endpoint choice, µs"):
        table.add_column(column)
    for entries, endpoints in SIZES:
        held, cost_us = time_endpoint_choice(entries, endpoints)
        table.add_row(str(entries), str(endpoints), str(held), f"{cost_us:.0f}")
    console = Console(soft_wrap=True)
    console.print(table)
    console.print(f"version choice, µs: {time_version_choice():.0f}")


if __name__ == "__main__":
    main()
