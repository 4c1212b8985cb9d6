"""Microseconds per decision, by size of the fleet and number of versions."""

import asyncio
from random import Random
from time import process_time

from attrs import frozen

from acaciacove.bench.capacity_fleet import (
    API,
    made_endpoint,
    made_entry,
    made_state,
)
from acaciacove.decisions.plan_cache import PlanCache
from acaciacove.decisions.quality_estimates import QualityEstimates
from acaciacove.entry.caller_request import CallerRequest
from acaciacove.entry.progress import Progress
from acaciacove.entry.router import Router
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.messages.load import Load

ENDPOINTS = (10, 50, 100, 300, 600)
VERSIONS = (1, 2, 4, 7)
ORGANISATIONS = 10
DECISIONS = 2000
UPDATES = 5
SUBSET_SIZE = 24
ENTRIES_PER_ENDPOINT = 380 / 600
NAME = "entry-0000"
MICROSECONDS = 1_000_000
SEED = 1


@frozen
class DecisionCost:
    """Processor time of the entry's decisions in one fleet.

    ``version_us`` and ``endpoint_us`` are paid by each request, ``update_us`` each
    time the list of instances has changed. ``subset`` is the number of endpoints of
    one version that the entry compares.
    """

    endpoints: int
    versions: int
    version_us: float
    endpoint_us: float
    update_us: float
    subset: int


def measure_decisions() -> list[DecisionCost]:
    """Measure both series: growing fleets, and growing ladders of versions."""
    series = [(endpoints, 2) for endpoints in ENDPOINTS]
    series += [(ENDPOINTS[-1], versions) for versions in VERSIONS]
    return [asyncio.run(_measure(*sizes)) for sizes in series]


async def _measure(endpoints: int, versions: int) -> DecisionCost:
    """Measure one fleet; the router reads the running loop's clock."""
    fleet = made_state(ORGANISATIONS, versions)
    router = _router()
    count = max(1, round(endpoints * ENTRIES_PER_ENDPOINT))
    instances = [made_entry(number) for number in range(count)]
    instances += [made_endpoint(number, versions) for number in range(endpoints)]
    update_us = _timed_us(UPDATES, lambda: router.update(instances, fleet))
    for view in router.views.values():
        view.reported(Load(in_flight=1, limit=16, service_s=0.5), 0.0)
    request = _request(fleet)
    version = min(router.subsets)
    return DecisionCost(
        endpoints=endpoints,
        versions=versions,
        version_us=_timed_us(DECISIONS, lambda: router.choose_version(fleet, request)),
        endpoint_us=_timed_us(
            DECISIONS,
            lambda: router.choose_endpoint(fleet, request, version, Progress()),
        ),
        update_us=update_us,
        subset=len(router.subsets[version]),
    )


def _router() -> Router:
    estimates = QualityEstimates(NAME)
    return Router(
        name=NAME,
        rng=Random(SEED),
        subset_size=SUBSET_SIZE,
        estimates=estimates,
        plans=PlanCache(estimates),
    )


def _request(fleet: FleetState) -> CallerRequest:
    organisation = next(iter(fleet.organisations.values()))
    return CallerRequest(
        request_id="r",
        organisation=organisation,
        api=fleet.apis[API],
        deadline_at_s=0.0,
        request_class="chat",
        prefix_hash="00000000",
    )


def _timed_us(times: int, run: object) -> float:
    """Return the processor time of one run in microseconds."""
    assert callable(run)
    run()
    started_s = process_time()
    for _ in range(times):
        run()
    return round((process_time() - started_s) / times * MICROSECONDS, 2)
