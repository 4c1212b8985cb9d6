"""The budget of held bytes: its bounds, and who gives way."""

from attrs import frozen
from hypothesis import given
from hypothesis import strategies as st

from acaciacove.decisions.byte_account import ByteAccount
from acaciacove.decisions.byte_budget import ByteBudget, choose_caller_to_cut

STEPS = st.lists(st.tuples(st.integers(0, 3), st.integers(-1, 60_000)))


@given(st.integers(1, 300_000), STEPS)
def test_reservations_stay_within_the_limit_and_are_all_released(limit, steps):
    budget = ByteBudget(limit)
    accounts = [ByteAccount(budget) for _ in range(4)]
    for number, size in steps:
        free_bytes = budget.free_bytes
        if size < 0:
            accounts[number].clear()
        else:
            accepted = accounts[number].reserve(size)
            assert size <= free_bytes if accepted else size > free_bytes - limit / 8
        assert budget.held_bytes == sum(a.held_bytes for a in accounts) <= limit
    for account in accounts:
        account.clear()
    assert budget.held_bytes == 0


@given(st.integers(1, 400), st.integers(8_192, 16_384))
def test_growing_answers_share_the_budget_and_leave_some_of_it(answers, step):
    """Guards against the first slow answers taking what later ones need."""
    budget = ByteBudget(40_000_000)
    accounts = [ByteAccount(budget) for _ in range(answers)]
    growing = accounts
    while growing:
        for account in growing:
            if account.may_grow():
                account.set(account.held_bytes + step)
        growing = [a for a in growing if a.may_grow() and a.held_bytes < 262_144]
    held = [account.held_bytes for account in accounts]
    assert max(held) - min(held) <= step
    assert budget.held_bytes <= 35_000_000
    late = ByteAccount(budget)
    late.set(step)
    assert late.may_grow()


@frozen
class Answer:
    unread_bytes: int
    last_read_s: float


def test_largest_holder_of_those_that_read_nothing_is_cut():
    reader, small, large = Answer(900, 95.0), Answer(10, 80.0), Answer(20, 85.0)
    empty = Answer(0, 0.0)
    assert choose_caller_to_cut([reader, small, large, empty], 100.0) is large
    assert choose_caller_to_cut([reader, empty], 100.0) is None


def test_without_a_limit_everything_fits():
    budget = ByteBudget()
    assert budget.reserve(10**12) and budget.may_grow(10**12)
    assert budget.may_send(10**12, 10**12)
