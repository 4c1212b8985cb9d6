"""Gauges of the pace of endpoints' machines and of endpoints' slowness."""

from collections import defaultdict
from collections.abc import Iterable
from statistics import fmean

from acaciacove.gateway.endpoint_state import EndpointState
from acaciacove.gateway.gateway_metrics import Gauges


def read_pace_gauges(states: Iterable[EndpointState], now_s: float) -> Gauges:
    """Return the lowest, mean and highest pace and slowness of each service.

    Only endpoints that have reported a pace count. There are no gauges without any.
    """
    paces: dict[str, list[float]] = defaultdict(list)
    slownesses: dict[str, list[float]] = defaultdict(list)
    for state in states:
        if state.pace.is_reported:
            service = state.endpoint.service
            paces[service].append(state.pace.machine_pace(now_s))
            slownesses[service].append(state.pace.slowness(now_s))
    if not paces:
        return {}
    return {
        ("machine_pace", "time of work on endpoints' machines, 1 as usual"): (
            _summarise(paces)
        ),
        ("endpoint_slowness", "time of work expected at endpoints, 1 as usual"): (
            _summarise(slownesses)
        ),
    }


def _summarise(
    by_service: dict[str, list[float]],
) -> dict[tuple[tuple[str, str], ...], float]:
    return {
        (("service", service), ("of", statistic)): value
        for service, values in by_service.items()
        for statistic, value in (
            ("lowest", min(values)),
            ("mean", fmean(values)),
            ("highest", max(values)),
        )
    }
