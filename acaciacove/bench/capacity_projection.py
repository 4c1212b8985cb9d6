"""Works totals for each role out from slopes, at the size to design for."""

from acaciacove.bench.budget_line import BudgetLine
from acaciacove.bench.capacity_appends import AppendCost
from acaciacove.bench.capacity_decisions import DecisionCost
from acaciacove.bench.capacity_polling import PollCost
from acaciacove.bench.capacity_slopes import CapacitySlopes
from acaciacove.bench.control_budget import ControlBudget
from acaciacove.bench.design_size import DesignSize
from acaciacove.daemon.follow_instances import list_fetch_interval_s
from acaciacove.state.log_tail import READ_WAIT_S, idle_delay_s

ENTRY = "entry"
SIDECAR = "sidecar"
FLEET = "fleet"
LOG = "log"
BILLING = "billing"
CORE = "share of a core for control"
MEMORY = "control state"
CLAIMS = "claims remembered by an owner"
BILLS = "bills held through an hour without the log"
TRAFFIC = "control traffic"
APPENDS = "log appends"
IN_FORCE = "a change in force everywhere, log down"
DAY_S = 86_400.0
HOUR_S = 3_600.0
MILLISECONDS = 1000.0
MICROSECONDS = 1_000_000.0


def project(
    slopes: CapacitySlopes, size: DesignSize, budget: ControlBudget
) -> tuple[BudgetLine, ...]:
    """Return every budgeted figure of every role."""
    traffic = _traffic_bytes_per_s(slopes, size)
    core = {
        ENTRY: _core_share(slopes, size, _largest(slopes).update_us),
        SIDECAR: _core_share(slopes, size, 0.0),
    }
    memory = {ENTRY: _entry_bytes(slopes, size), SIDECAR: _sidecar_bytes(slopes, size)}
    lines = []
    for role in (ENTRY, SIDECAR):
        lines += [
            BudgetLine(role, CORE, core[role], budget.core_share, "core"),
            BudgetLine(role, MEMORY, memory[role], budget.memory_bytes, "bytes"),
            BudgetLine(role, TRAFFIC, traffic, budget.bytes_per_s, "bytes/s"),
        ]
    claims = round(_claims_of_owner(slopes, size) * slopes.claims.held_bytes)
    bills = round(_bills_in_an_hour(size) * slopes.bills.held_bytes)
    appends = _appends_per_s(slopes, size)
    in_force_s = slopes.spread[-1].all_in_force_s
    lines += [
        BudgetLine(ENTRY, BILLS, bills, budget.memory_bytes, "bytes"),
        BudgetLine(SIDECAR, CLAIMS, claims, budget.memory_bytes, "bytes"),
        BudgetLine(FLEET, APPENDS, appends, budget.appends_per_s, "appends/s"),
        BudgetLine(FLEET, IN_FORCE, in_force_s, budget.in_force_s, "s"),
    ]
    return tuple(lines)


def facts(slopes: CapacitySlopes, size: DesignSize) -> dict[str, float]:
    """Return figures without a budget, above all those of the data path."""
    found = {
        "log_reads_per_s": round(size.processes * _tail_polls_per_s(size), 1),
        "instance_list_reads_per_s": round(size.processes * _list_polls_per_s(size), 1),
        "bills_held_after_an_hour": round(_bills_in_an_hour(size)),
        "claims_per_owner": round(_claims_of_owner(slopes, size)),
        "takeover_log_bytes": round(
            _claims_of_partition(slopes, size) * slopes.claims.log_bytes
        ),
        "takeover_fold_s": round(
            _claims_of_partition(slopes, size) * slopes.claims.fold_us / MICROSECONDS, 1
        ),
        "connections_per_sidecar": _connections_per_sidecar(slopes, size),
        "connections_per_entry": _connections_per_entry(slopes, size),
        "resident_before_state_entry_bytes": slopes.resident.entry_code,
        "resident_before_state_sidecar_bytes": slopes.resident.sidecar_code,
    }
    relay = slopes.relay
    if relay is not None:
        found["entry_data_core_share"] = _data_share(
            size, size.entries, relay.entry_request_us, relay.entry_token_us
        )
        found["sidecar_data_core_share"] = _data_share(
            size, size.endpoints, relay.sidecar_request_us, relay.sidecar_token_us
        )
    return found


def _core_share(slopes: CapacitySlopes, size: DesignSize, update_us: float) -> float:
    """Add up spread, log tail and instance list; updates follow each list."""
    tail_s = _poll(slopes, LOG).cpu_ms / MILLISECONDS * _tail_polls_per_s(size)
    listing_s = _list_cpu_s(slopes, size) + update_us / MICROSECONDS
    spread = slopes.spread[-1].core_share
    return round(spread + tail_s + listing_s * _list_polls_per_s(size), 5)


def _traffic_bytes_per_s(slopes: CapacitySlopes, size: DesignSize) -> float:
    """Add up what one process sends and fetches while little changes."""
    tail = _poll(slopes, LOG).size_bytes * _tail_polls_per_s(size)
    listing = _list_bytes(slopes, size) * _list_polls_per_s(size)
    notes = size.changes_per_day / DAY_S * size.note_bytes
    return round(slopes.spread[-1].idle_bytes_per_s + tail + listing + notes, 1)


def _entry_bytes(slopes: CapacitySlopes, size: DesignSize) -> float:
    """Add up views of all endpoints (full ones in subsets), names, connections."""
    memory = slopes.memory
    subset = _connections_per_entry(slopes, size)
    views = subset * memory.endpoint_view_full
    views += (size.endpoints - subset) * memory.endpoint_view
    return round(_names_bytes(slopes, size) + views + subset * slopes.connection_bytes)


def _sidecar_bytes(slopes: CapacitySlopes, size: DesignSize) -> float:
    """Add up names and a connection for each entry that it serves."""
    connections = _connections_per_sidecar(slopes, size) * slopes.connection_bytes
    return round(_names_bytes(slopes, size) + connections)


def _names_bytes(slopes: CapacitySlopes, size: DesignSize) -> float:
    memory = slopes.memory
    return (
        size.processes * memory.instance
        + size.organisations * memory.organisation
        + size.versions * memory.version
    )


def _connections_per_entry(slopes: CapacitySlopes, size: DesignSize) -> int:
    """Each version has a bounded subset; they add up to all endpoints at most."""
    return min(size.endpoints, _largest(slopes).subset * size.versions)


def _connections_per_sidecar(slopes: CapacitySlopes, size: DesignSize) -> int:
    opened = _connections_per_entry(slopes, size) * size.entries
    return round(opened / size.endpoints)


def _claims_of_owner(slopes: CapacitySlopes, size: DesignSize) -> float:
    """Return the keys that one owner holds once the window has filled."""
    return _claims_remembered(slopes, size) / size.claim_owners


def _claims_of_partition(slopes: CapacitySlopes, size: DesignSize) -> float:
    """Return the keys that a new owner reads before it runs anything."""
    return _claims_remembered(slopes, size) / slopes.claims.partitions


def _claims_remembered(slopes: CapacitySlopes, size: DesignSize) -> float:
    claims_per_s = size.requests_per_s * size.non_idempotent_share
    return claims_per_s * slopes.claims.remembered_s


def _bills_in_an_hour(size: DesignSize) -> float:
    """Return what one entry has billed while the log was out of reach."""
    return size.requests_per_s / size.entries * HOUR_S


def _appends_per_s(slopes: CapacitySlopes, size: DesignSize) -> float:
    """Bills of all entries, claims of their owners, and operators' changes."""
    bills = _at_design(slopes, BILLING).appends_per_s * size.entries
    claims = _at_design(slopes, "claims").appends_per_s * size.claim_owners
    return round(bills + claims + size.changes_per_day / DAY_S, 1)


def _at_design(slopes: CapacitySlopes, stream: str) -> AppendCost:
    """Return the measurement at the size to design for, which is a series' last."""
    return [cost for cost in slopes.appends if cost.stream == stream][-1]


def _data_share(
    size: DesignSize, processes: int, request_us: float, token_us: float
) -> float:
    """Return the share of a core that one process's requests and tokens take."""
    work_us = size.requests_per_s * request_us + size.tokens_per_s * token_us
    return round(work_us / processes / MICROSECONDS, 4)


def _largest(slopes: CapacitySlopes) -> DecisionCost:
    """Return the largest fleet with the most versions."""
    return max(slopes.decisions, key=lambda cost: (cost.endpoints, cost.versions))


def _poll(slopes: CapacitySlopes, what: str) -> PollCost:
    return [poll for poll in slopes.polls if poll.what == what][-1]


def _tail_polls_per_s(size: DesignSize) -> float:
    return 1.0 / (READ_WAIT_S + idle_delay_s(size.processes))


def _list_polls_per_s(size: DesignSize) -> float:
    return 1.0 / list_fetch_interval_s(size.processes)


def _list_cpu_s(slopes: CapacitySlopes, size: DesignSize) -> float:
    largest = _poll(slopes, "instance_list")
    return largest.cpu_ms / MILLISECONDS * size.processes / largest.listed


def _list_bytes(slopes: CapacitySlopes, size: DesignSize) -> float:
    largest = _poll(slopes, "instance_list")
    return largest.size_bytes * size.processes / largest.listed
