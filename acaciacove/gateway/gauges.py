"""The gauges of a gateway at the time of a scrape."""

import asyncio
import resource

from acaciacove.decisions.endpoint_backlog import baseline_wait_s
from acaciacove.gateway.endpoint_condition import EndpointCondition, endpoint_condition
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.gateway_metrics import Gauges
from acaciacove.gateway.pace_gauges import read_pace_gauges

KIB = 1024
Labels = tuple[tuple[str, str], ...]


def read_gauges(gateway: Gateway, open_connections: int) -> Gauges:
    """Return gauges by (name, help), with their labelled values."""
    view = gateway.view
    now_s = asyncio.get_running_loop().time()
    usage = resource.getrusage(resource.RUSAGE_SELF)
    catalogue = view.catalogue
    return {
        ("ready", "1 when requests can be routed"): {(): float(view.is_usable)},
        ("operator_revision", "log offset of the newest decision"): {
            (): float(view.operator_revision)
        },
        ("log_era", "era of the log; 0 if it states none"): {
            (): float(gateway.era.current)
        },
        ("catalogue_version", "version of the catalogue in force"): {
            (): float(catalogue.version if catalogue else -1)
        },
        ("confirmed_age_seconds", "since decisions were known complete"): {
            (): min(view.confirmed_age_s, 1e9)
        },
        ("endpoints_age_seconds", "since endpoints' entries were known complete"): {
            (): min(view.endpoints_age_s, 1e9)
        },
        ("endpoints", "endpoints by state"): _endpoint_states(gateway, now_s),
        ("limited_endpoints", "endpoints that state a limit"): {
            (): float(
                sum(s.stated_limit.per_s is not None for s in gateway.states.all())
            )
        },
        ("requests_in_flight", "requests at endpoints"): {
            (): float(sum(s.load.in_flight for s in gateway.states.all()))
        },
        ("caller_connections", "open connections of callers"): {
            (): float(open_connections)
        },
        ("held_bytes", "bytes held for callers and endpoints"): {
            (): float(gateway.held.budget.held_bytes)
        },
        ("held_bytes_limit", "limit of held bytes; 0 is none"): {
            (): float(gateway.held.budget.limit_bytes)
        },
        ("endpoint_body_bytes", "request bodies in flight, most at one endpoint"): {
            (): float(max((s.body_bytes for s in gateway.states.all()), default=0))
        },
        ("handshakes", "connections made to endpoints"): {
            (): float(sum(s.pool.handshakes for s in gateway.states.all()))
        },
        ("retry_budget_left", "repeats that may be sent now"): {
            (("service", name),): budget.remaining(now_s, gateway.gateway_count)
            for name, budget in gateway.budgets.items()
        },
        ("usual_wait_seconds", "wait before prompts are read at endpoints"): {
            (): baseline_wait_s((s.backlog for s in gateway.states.all()), now_s)
        },
        ("admission_level", "tenths of the arriving work that are refused"): {
            (("service", name),): float(state.level.level_at(now_s))
            for name, state in gateway.overloads.items()
        },
        ("rollout", "1 for the phase of a roll-out under way"): {
            (("service", name), ("phase", progress.phase.value)): 1.0
            for name, progress in gateway.rollouts.items()
        },
        ("rollout_answers", "answers since the order, by version"): {
            (("service", name), ("version", label)): float(
                sum(c.answers for c in progress.cells(is_target).values())
            )
            for name, progress in gateway.rollouts.items()
            for label, is_target in (("old", False), ("new", True))
        },
        ("rollout_failures", "failures since the order, by version"): {
            (("service", name), ("version", label)): float(
                sum(c.failures for c in progress.cells(is_target).values())
            )
            for name, progress in gateway.rollouts.items()
            for label, is_target in (("old", False), ("new", True))
        },
        ("gateways", "gateways that share the promised bounds"): {
            (): float(gateway.gateway_count)
        },
        ("log_lines_dropped", "log lines left out by the budget"): {
            (): float(gateway.log.dropped)
        },
        ("cpu_seconds", "processor time of the process"): {
            (): usage.ru_utime + usage.ru_stime
        },
        ("peak_memory_bytes", "peak resident memory"): {
            (): float(usage.ru_maxrss * KIB)
        },
        **read_pace_gauges(gateway.states.all(), now_s),
    }


def _endpoint_states(gateway: Gateway, now_s: float) -> dict[Labels, float]:
    """Count endpoints by condition."""
    counts = dict.fromkeys(EndpointCondition, 0.0)
    for endpoint in gateway.view.endpoints.values():
        counts[endpoint_condition(gateway, endpoint, now_s)] += 1
    return {(("state", condition.value),): count for condition, count in counts.items()}
