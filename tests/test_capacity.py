"""Capacity is worked out from measured slopes, and overruns are named."""

import asyncio

import pytest
from attrs import evolve

from acaciacove.bench.budget_line import BudgetLine
from acaciacove.bench.capacity_appends import AppendCost, measure_appends
from acaciacove.bench.capacity_billing import BillCost, measure_bills
from acaciacove.bench.capacity_claims import ClaimCost, measure_claims
from acaciacove.bench.capacity_codec import CodecCost, measure_codec
from acaciacove.bench.capacity_connections import measure_connection_bytes
from acaciacove.bench.capacity_decisions import DecisionCost, measure_decisions
from acaciacove.bench.capacity_fleet import made_endpoint, made_entry, made_state
from acaciacove.bench.capacity_memory import (
    MemorySlopes,
    ResidentSizes,
    bytes_per_item,
    measure_memory,
)
from acaciacove.bench.capacity_polling import PollCost
from acaciacove.bench.capacity_projection import (
    BILLS,
    MEMORY,
    TRAFFIC,
    facts,
    project,
)
from acaciacove.bench.capacity_relay import RelayCost
from acaciacove.bench.capacity_report import CapacityReport
from acaciacove.bench.capacity_settings import CapacitySettings
from acaciacove.bench.capacity_slopes import CapacitySlopes
from acaciacove.bench.capacity_spread import SpreadLoad
from acaciacove.bench.control_budget import ControlBudget
from acaciacove.bench.design_size import DesignSize
from acaciacove.daemon.append_share import append_share
from acaciacove.daemon.follow_instances import list_fetch_interval_s
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.role import Role
from acaciacove.standins.swimhole import SWIMHOLE
from acaciacove.state.append_budget import FLEET_BILLING_PER_S, FLEET_CLAIMS_PER_S
from acaciacove.state.log_tail import FLEET_READS_PER_S, READ_WAIT_S, idle_delay_s
from acaciacove.state.reducer import fold

SIZE = DesignSize(entries=10, endpoints=20, organisations=2, versions=1)
SLOPES = CapacitySlopes(
    memory=MemorySlopes(500.0, 200.0, 20_000.0, 1000.0, 300.0),
    resident=ResidentSizes(1, 2, 3, 4),
    connection_bytes=4000.0,
    decisions=[DecisionCost(20, 1, 20.0, 60.0, 100.0, 8)],
    codec=[CodecCost("Run", 1000, 20.0, 20.0)],
    polls=[PollCost("log", 0, 120.0, 0.6), PollCost("instance_list", 30, 3000.0, 0.5)],
    appends=[
        AppendCost("billing", 1.0, 0.2, 5.0, 1.0, 0),
        AppendCost("claims", 1.0, 0.1, 5.0, 1.0, 0),
    ],
    claims=ClaimCost(500.0, 400.0, 20.0, 3600.0, 64),
    bills=BillCost(900.0, 250),
    spread=[SpreadLoad(30, 500.0, 900.0, 3000, 0.0004, 1.1)],
    relay=RelayCost(1000.0, 40.0, 900.0, 50.0, 1, 2, 3, 4, 0),
)


def line(name, slopes=SLOPES, role="entry"):
    """Return one projected figure."""
    lines = project(slopes, SIZE, ControlBudget())
    return next(found for found in lines if (found.role, found.name) == (role, name))


def test_an_item_weighs_what_it_holds():
    light = bytes_per_item(lambda n: bytes(1000))
    heavy = bytes_per_item(lambda n: bytes(3000))
    assert 1900 < heavy - light < 2100


def test_state_grows_with_the_classes_that_hold_it():
    memory = measure_memory(versions=2)
    assert memory.endpoint_view_full > 10 * memory.endpoint_view > 0


def test_entry_memory_adds_up_views_names_and_connections():
    views = 8 * 20_000 + 12 * 200
    names = 30 * 500 + 2 * 1000 + 300
    assert line(MEMORY).value == names + views + 8 * 4000


def test_control_traffic_adds_up_spread_tail_list_and_notes():
    tail = 120.0 / (READ_WAIT_S + idle_delay_s(30))
    listing = 3000.0 / list_fetch_interval_s(30)
    notes = 920 * 2000 / 86_400
    assert line(TRAFFIC).value == round(500.0 + tail + listing + notes, 1)


def test_the_data_path_is_told_apart_from_control():
    found = facts(SLOPES, SIZE)
    per_entry_us = (7800 * 1000 + 1_800_000 * 40) / 10
    assert found["entry_data_core_share"] == per_entry_us / 1_000_000


def test_what_exceeds_its_budget_is_named():
    # A page that only listed figures would let an overrun pass unread.
    lines = (
        BudgetLine("entry", "traffic", 3001.0, 3000.0, "bytes/s"),
        BudgetLine("entry", "state", 1.0, 2.0, "bytes"),
    )
    report = CapacityReport(CapacitySettings(), SLOPES, lines, {})
    assert report.over_budget == ["entry: traffic"]
    assert report.document()["over_budget"] == ["entry: traffic"]


def test_an_entry_compares_no_more_endpoints_in_a_larger_fleet():
    by_size = {c.endpoints: c.subset for c in measure_decisions() if c.versions == 2}
    assert by_size[600] == by_size[100] < 30


@pytest.fixture(scope="module")
def append_costs():
    """Measure once: the writer runs through hours of its own time."""
    return measure_appends(DesignSize())


@pytest.fixture(scope="module")
def bill_cost():
    """Measure once: it holds the bills of an hour."""
    return asyncio.run(measure_bills())


def test_appends_do_not_grow_with_requests(append_costs):
    # Bills are appended in batches. One append a bill would use up the log at a
    # fraction of the requests, and bookings could make no claims.
    costs = [c for c in append_costs if c.stream == "billing"]
    assert all(cost.unsettled < 300 for cost in costs)
    assert max(c.appends_per_s for c in costs) < 2 * min(c.appends_per_s for c in costs)


def test_every_frequent_message_is_measured():
    assert {cost.message for cost in measure_codec()} >= {
        "Run",
        "Chunk",
        "End",
        "Digest",
    }


def test_a_connection_between_processes_weighs_a_few_kilobytes():
    assert 500 < asyncio.run(measure_connection_bytes()) < 50_000


def test_a_longer_list_is_fetched_less_often():
    # A list fetched each second, however long, would take more of a node than all
    # other control, and the platform would serve it a thousand times a second.
    assert list_fetch_interval_s(3) == 1.0
    assert 2.0 < list_fetch_interval_s(20) < 4.0
    assert 980 * 206 / list_fetch_interval_s(980) < 2000


def test_a_writer_keeps_to_its_share_of_the_appends(append_costs):
    # Timers fire a little early. Counted as free, the appends that they start would
    # add up to a fifth more than all processes together may use.
    share = FLEET_CLAIMS_PER_S / DesignSize().claim_owners
    claims = [c for c in append_costs if c.stream == "claims"]
    assert max(cost.appends_per_s for cost in claims) < 1.02 * share


def test_all_processes_together_keep_to_a_rate_of_log_reads():
    # The log is shared with operators. A fleet that read it as often as a single
    # process does would crowd out the release notes that it waits for.
    assert idle_delay_s(10) == 0.1
    reads_per_s = 980 / (READ_WAIT_S + idle_delay_s(980))
    assert reads_per_s <= FLEET_READS_PER_S


def test_a_remembered_claim_is_weighed_by_the_table_that_holds_it():
    cost = measure_claims(4000)
    assert 40 < cost.held_bytes < 200
    assert cost.log_bytes > 100
    assert cost.remembered_s > 0


def test_a_larger_fleet_leaves_each_process_fewer_appends():
    # Each process knows its own appends alone. With rates that do not depend on the
    # fleet's size, six hundred of them would use up the log for all.
    fleet = made_state(organisations=1, versions=1)
    instances = [made_entry(n) for n in range(380)]
    instances += [made_endpoint(n, 1) for n in range(600)]
    large = append_share(instances, fleet)
    small = append_share(instances[378:382], fleet)
    assert 380 * large.billing_per_s <= FLEET_BILLING_PER_S + 1e-6
    assert 600 * large.claims_per_s <= FLEET_CLAIMS_PER_S + 1e-6
    assert small.billing_per_s > 100 * large.billing_per_s


def test_only_endpoints_of_plain_services_share_the_claims():
    fleet = fold(FleetState(), 0, SWIMHOLE.note).state
    instances = [
        Instance(e.name, Role.ENDPOINT, "south", e.availability_zone, "", 1,
                 versions=e.versions)
        for e in SWIMHOLE.endpoints
    ]  # fmt: skip
    assert append_share(instances, fleet).claims_per_s == FLEET_CLAIMS_PER_S / 4


def test_a_held_bill_is_weighed_with_its_place_in_the_queue(bill_cost):
    assert bill_cost.held_bytes > bill_cost.log_bytes > 100


def test_bills_of_an_hour_without_the_log_fit_the_budget(bill_cost):
    # Each bill used to wait as several objects, and the node lost twice the memory
    # that its owner had granted before the platform's log came back.
    slopes = evolve(SLOPES, bills=bill_cost)
    lines = project(slopes, DesignSize(), ControlBudget())
    assert not next(found for found in lines if found.name == BILLS).over
