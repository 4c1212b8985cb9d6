"""How long removed entries of endpoints are retained."""

from hypothesis import given, settings
from hypothesis import strategies as st

from acaciacove.decisions.entry_retention import REREGISTRATION_S, EntryRetention
from acaciacove.gateway.relay.relay_intervals import relay_intervals

SPANS_S = st.floats(0.01, 4.0)
RECOVERY_S = 3.0
DRAINS_S = st.sampled_from([0.2, 1.0, 2.0, 10.0])


def retained_for_s(retention, now_s, drain_s):
    """Read as often as a gateway does until the entry is no longer retained."""
    began_s = now_s
    while retention.is_retained("i-0"):
        now_s += relay_intervals(2.0, drain_s).expiry_check_s
        retention.pop_expired(now_s)
        retention.begin_read(now_s, None, None)
        retention.end_read(now_s)
    return now_s - began_s


@given(SPANS_S, SPANS_S, DRAINS_S)
@settings(max_examples=200, derandomize=True)
def test_nothing_is_retained_while_the_log_is_available(held_s, failed_s, drain_s):
    """Guards against removals delayed by calls that failed at one gateway only."""
    retention = EntryRetention()
    retention.begin_read(0.0, None, None)
    retention.end_read(0.0)
    now_s = held_s + failed_s
    retention.begin_read(now_s, None, held_s)
    assert not retention.retain_removed("i-0", now_s, drain_s)


@given(SPANS_S, SPANS_S, DRAINS_S)
@settings(max_examples=200, derandomize=True)
def test_a_short_outage_retains_nothing_beyond_the_drain_time(
    held_s, failed_s, drain_s
):
    """Guards against requests to an endpoint whose drain time is over."""
    retention = EntryRetention()
    retention.begin_read(0.0, None, None)
    retention.end_read(0.0)
    now_s = held_s + failed_s
    retention.begin_read(now_s, now_s, held_s)
    retained = retention.retain_removed("i-0", now_s, drain_s)
    retention.end_read(now_s)
    lasted_s = retained_for_s(retention, now_s, drain_s)
    if failed_s < 0.85 * drain_s:
        # It was removed no earlier than when the calls began to fail.
        assert failed_s + lasted_s <= drain_s
    else:
        # Gateways have to comply with their limits again by then.
        assert retained and REREGISTRATION_S <= lasted_s <= RECOVERY_S


@given(st.floats(3.05, 30.0), SPANS_S, DRAINS_S)
@settings(max_examples=100, derandomize=True)
def test_long_after_an_outage_removals_are_final(after_s, failed_s, drain_s):
    """Guards against one outage that makes every later removal look like an expiry."""
    retention = EntryRetention()
    retention.begin_read(0.0, 0.0, -failed_s)
    retention.end_read(0.0)
    retention.begin_read(after_s, None, None)
    assert not retention.retain_removed("i-0", after_s, drain_s)
