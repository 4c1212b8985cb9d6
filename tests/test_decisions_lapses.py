"""How long removed entries of endpoints are retained."""

from hypothesis import given, settings
from hypothesis import strategies as st

from acaciacove.decisions.entry_lapses import RETURN_S, EntryLapses
from acaciacove.gateway.relay.relay_pace import relay_pace

SPANS_S = st.floats(0.01, 4.0)
CONTACT_S = 3.0
DRAINS_S = st.sampled_from([0.2, 1.0, 2.0, 10.0])


def kept_for_s(lapses, now_s, drain_s):
    """Read as often as a gateway does until the entry is no longer retained."""
    began_s = now_s
    while lapses.is_kept("i-0"):
        now_s += relay_pace(2.0, drain_s).expire_s
        lapses.take_overdue(now_s)
        lapses.begin_look(now_s, None, None)
        lapses.end_look(now_s)
    return now_s - began_s


@given(SPANS_S, SPANS_S, DRAINS_S)
@settings(max_examples=200, derandomize=True)
def test_nothing_is_kept_where_the_log_was_there(held_s, failed_s, drain_s):
    """Guards against removals delayed by calls that failed at one gateway only."""
    lapses = EntryLapses()
    lapses.begin_look(0.0, None, None)
    lapses.end_look(0.0)
    now_s = held_s + failed_s
    lapses.begin_look(now_s, None, held_s)
    assert not lapses.keep_removed("i-0", now_s, drain_s)


@given(SPANS_S, SPANS_S, DRAINS_S)
@settings(max_examples=200, derandomize=True)
def test_a_short_absence_keeps_nothing_for_longer_than_it_would_serve(
    held_s, failed_s, drain_s
):
    """Guards against requests to an endpoint whose drain time is over."""
    lapses = EntryLapses()
    lapses.begin_look(0.0, None, None)
    lapses.end_look(0.0)
    now_s = held_s + failed_s
    lapses.begin_look(now_s, now_s, held_s)
    kept = lapses.keep_removed("i-0", now_s, drain_s)
    lapses.end_look(now_s)
    lasted_s = kept_for_s(lapses, now_s, drain_s)
    if failed_s < 0.85 * drain_s:
        # It was removed no earlier than when the calls began to fail.
        assert failed_s + lasted_s <= drain_s
    else:
        # Gateways have to comply with their limits again by then.
        assert kept and RETURN_S <= lasted_s <= CONTACT_S


@given(st.floats(3.05, 30.0), SPANS_S, DRAINS_S)
@settings(max_examples=100, derandomize=True)
def test_long_after_an_absence_what_goes_has_left(after_s, failed_s, drain_s):
    """Guards against one outage that makes every later removal look like an expiry."""
    lapses = EntryLapses()
    lapses.begin_look(0.0, 0.0, -failed_s)
    lapses.end_look(0.0)
    lapses.begin_look(after_s, None, None)
    assert not lapses.keep_removed("i-0", after_s, drain_s)
