"""Placement moves few endpoints at a time, towards the work."""

from hypothesis import given, settings
from hypothesis import strategies as st

from acaciacove.bench.placement_trial import greedy_by_work, play, weighted_optimum
from acaciacove.decisions.placement import plan_moves
from acaciacove.fleet.version_id import VersionId

A, B, C = (VersionId(name, "1") for name in "abc")


def test_the_busiest_version_gains_an_endpoint_from_the_idlest():
    placed = {"e0": A, "e1": B, "e2": B, "e3": B}
    moves = plan_moves(placed, {A: 1.8, B: 0.6}, max_moves=1)
    assert [(m.load, m.instead_of) for m in moves] == [(A, B)]


@given(
    st.lists(st.sampled_from([A, B, C]), min_size=1, max_size=12),
    st.tuples(*[st.floats(0.0, 12.0)] * 3),
    st.sets(st.integers(0, 11), max_size=3),
)
@settings(derandomize=True, deadline=None, max_examples=150)
def test_few_endpoints_move_at_once_and_versions_in_use_keep_one(held, work, moving):
    # Many endpoints that load weights at once serve nothing and queue at the weight
    # store, and a version without endpoint answers nobody.
    placed = {f"e{n}": version for n, version in enumerate(held)}
    names = frozenset(f"e{n}" for n in moving if f"e{n}" in placed)
    demand = dict(zip((A, B, C), work, strict=True))
    moves = plan_moves(placed, demand, names, max_moves=2)
    assert len(moves) + len(names) <= max(2, len(names))
    assert not names & {m.endpoint for m in moves}
    after = placed | {m.endpoint: m.load for m in moves}
    for version in set(held):
        assert version in after.values() or demand[version] == 0.0


def test_the_greedy_rule_moves_less_than_the_weighted_optimum():
    simple, program = (play(rule, 1) for rule in (greedy_by_work, weighted_optimum))
    assert simple[2] < program[2]
    assert simple[0] <= program[0] * 1.02
