"""Subsets are bounded and even; endpoints are chosen without herds."""

from collections import Counter
from random import Random

from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciacove.decisions.endpoint_choice import choose_endpoint
from acaciacove.decisions.endpoint_view import EndpointView
from acaciacove.decisions.subset import choose_subset
from acaciacove.decisions.zone_moves import ZoneMoves
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.instance_status import InstanceStatus
from acaciacove.fleet.role import Role
from acaciacove.messages.load import Load
from acaciacove.reason import Reason

ZONES = ("ozark", "piedmont", "cumberland", "gulfcoast")


def fleet_of(count):
    return [
        Instance(f"e{n}", Role.ENDPOINT, "r", ZONES[n % 4], "127.0.0.1", 1)
        for n in range(count)
    ]


def view(instance, in_flight, at_s=0.0, limit=8):
    known = EndpointView(instance)
    known.reported(Load(in_flight=in_flight, limit=limit, service_s=1.0), at_s)
    return known


@given(st.integers(1, 60), st.integers(1, 120))
@settings(derandomize=True, deadline=None, max_examples=40)
def test_subsets_cover_every_endpoint_evenly(entries, count):
    names = [f"entry-{n}" for n in range(entries)]
    endpoints = fleet_of(count)
    covered = Counter(
        e.name for name in names for e in choose_subset(name, names, endpoints)
    )
    assert set(covered) == {e.name for e in endpoints}
    for zone in ZONES:
        counts = [covered[e.name] for e in endpoints if e.availability_zone == zone]
        assert not counts or max(counts) - min(counts) <= 2


def test_a_subset_spans_every_zone_and_stays_small():
    names = [f"entry-{n}" for n in range(380)]
    subset = choose_subset("entry-7", names, fleet_of(600))
    assert 20 <= len(subset) <= 28
    assert {e.availability_zone for e in subset} == set(ZONES)


def test_one_added_endpoint_changes_little_of_a_subset():
    # An endpoint is replaced. If each entry then drew a fresh set, all connections
    # and prefix caches of the fleet would be lost at once.
    names = [f"entry-{n}" for n in range(40)]
    before = {e.name for e in choose_subset("entry-7", names, fleet_of(200))}
    after = {e.name for e in choose_subset("entry-7", names, fleet_of(201))}
    assert len(before - after) <= 3


@given(st.integers(0, 10_000), st.sets(st.sampled_from(ZONES)), st.integers(0, 5))
@settings(derandomize=True, deadline=None, max_examples=100)
def test_out_draining_and_excluded_endpoints_are_never_chosen(seed, out, leaving):
    endpoints = fleet_of(8)
    endpoints[leaving] = evolve(endpoints[leaving], status=InstanceStatus.LEAVING)
    fleet = FleetState(availability_zones_out=frozenset(out))
    decided = choose_endpoint(endpoints, {}, 0.0, Random(seed), fleet, excluded={"e7"})
    if out == set(ZONES):
        assert decided.reason is not None and decided.not_run
        return
    chosen = getattr(decided, "endpoint", None)
    if chosen is None:
        assert decided.reason is Reason.NO_ENDPOINT
        return
    assert chosen.availability_zone not in out
    assert chosen.name not in {"e7", endpoints[leaving].name}


def test_entries_do_not_herd_to_the_least_loaded_endpoint():
    # All entries hold the same report, a second old, in which one endpoint is empty.
    # If each sent there, its queue would be the longest a moment later.
    endpoints = fleet_of(12)
    views = {e.name: view(e, in_flight=0 if e.name == "e3" else 5) for e in endpoints}
    chosen = Counter(
        choose_endpoint(endpoints, views, 1.0, Random(seed), FleetState()).endpoint.name
        for seed in range(300)
    )
    assert chosen["e3"] < 300 * 0.4


def test_local_requests_count_before_a_report_includes_them():
    known = view(fleet_of(1)[0], in_flight=2)
    for number in range(3):
        known.sent(1.0 + number)
    assert known.at_endpoint == 5
    known.reported(Load(in_flight=4, limit=8), 2.5)
    assert known.at_endpoint == 5


def test_requests_with_the_same_prefix_choose_the_same_endpoint():
    # Cache events come late or never. Entries that each guess alone would spread one
    # prompt over all engines, and each would compute it anew.
    endpoints = fleet_of(12)
    chosen = Counter(
        choose_endpoint(
            endpoints,
            {e.name: view(e, in_flight=2) for e in endpoints},
            0.0,
            Random(seed),
            FleetState(),
            prefix_hash="river-guide",
        ).endpoint.name
        for seed in range(100)
    )
    assert chosen.most_common(1)[0][1] == 100


def test_a_full_preferred_endpoint_is_not_chosen():
    endpoints = fleet_of(12)
    home = choose_endpoint(
        endpoints,
        {e.name: view(e, in_flight=2) for e in endpoints},
        0.0,
        Random(1),
        FleetState(),
        prefix_hash="p",
    ).endpoint
    views = {e.name: view(e, in_flight=8 if e == home else 2) for e in endpoints}
    decided = choose_endpoint(
        endpoints, views, 0.0, Random(1), FleetState(), prefix_hash="p"
    )
    assert decided.endpoint != home


def test_a_returning_zone_ramps_up_and_flapping_restarts_the_ramp():
    # An operator takes a zone out and in again, twice in a row. Its endpoints are
    # cold; with a full share at once their callers would wait longest.
    moves, out = ZoneMoves(), FleetState(availability_zones_out=frozenset({"ozark"}))
    moves.update(out, 0.0)
    assert moves.share("ozark", 1.0) == 0.0
    moves.update(FleetState(), 10.0)
    early, later = moves.share("ozark", 11.0), moves.share("ozark", 25.0)
    assert 0.0 < early < later < 1.0
    moves.update(out, 26.0)
    assert moves.share("ozark", 26.0) == 0.0
    moves.update(FleetState(), 27.0)
    assert moves.share("ozark", 28.0) < later
    assert moves.share("ozark", 100.0) == 1.0
