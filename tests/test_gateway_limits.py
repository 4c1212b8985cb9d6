"""Limits that hold over all gateways together, whatever each of them has in view."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciacove.gateway.catalogue.rollout_order import RolloutOrder
from acaciacove.gateway.choice.cold_limiter import ColdLimiter, gateway_share
from acaciacove.gateway.choice.endpoint_health import (
    MAX_EJECTION_S,
    EndpointHealth,
)
from acaciacove.gateway.choice.endpoint_load import MAX_REPORT_AGE_S, EndpointLoad
from acaciacove.gateway.choice.retry_budget import RetryBudget
from acaciacove.gateway.choice.session_versions import SessionVersions
from acaciacove.gateway.choice.sliding_window_counter import SlidingWindowCounter
from acaciacove.gateway.rollout.rollout_progress import RolloutProgress
from acaciacove.gateway.rollout.rollout_settings import RolloutSettings
from acaciacove.gateway.rollout.rollout_steps import may_send_to_target

times = st.lists(st.floats(0.0, 30.0, allow_nan=False), max_size=200).map(sorted)


@given(times, st.floats(0.0, 0.2))
@settings(max_examples=100, derandomize=True)
def test_sliding_window_never_undercounts(times_s, bucket_s):
    counter = SlidingWindowCounter(10.0, bucket_s)
    for index, now_s in enumerate(times_s):
        counter.add(now_s)
        exact = sum(now_s - 10.0 < m <= now_s for m in times_s[: index + 1])
        assert counter.total(now_s) >= exact
        assert counter.total(now_s) <= sum(
            now_s - 10.0 - bucket_s - 1e-9 <= m <= now_s for m in times_s[: index + 1]
        )


@given(
    st.integers(1, 40),
    st.lists(st.tuples(st.integers(0, 39), st.booleans()), max_size=400),
    st.floats(0.0, 1.0),
    st.integers(0, 60),
)
@settings(max_examples=150, derandomize=True)
def test_retries_of_all_gateways_stay_within_the_budget(gateways, events, ratio, extra):
    """Gateways that do not know of each other each stay within their share.

    In sum, no window holds more retries than the budget.
    """
    budgets = [RetryBudget(ratio, extra, 10.0) for _ in range(gateways)]
    requests = retries = 0
    for number, (gateway, is_retry) in enumerate(events):
        budget = budgets[gateway % gateways]
        now_s = number * 0.01
        if is_retry:
            retries += budget.consume(now_s, gateways)
        else:
            budget.count_request(now_s)
            requests += 1
        assert retries <= ratio * requests + extra + 1e-6


WINDOW_S = 10.0
BUCKET_S = 0.05


@given(
    st.sampled_from([1, 5, 68, 380]),
    st.lists(
        st.tuples(
            st.floats(0.0, 3.0),
            st.integers(0, 379),
            st.sampled_from(["request", "retry", "retry", "restart"]),
        ),
        max_size=300,
    ),
    st.floats(0.0, 1.0),
    st.integers(0, 60),
)
@settings(max_examples=150, derandomize=True)
def test_restarts_do_not_add_to_the_retry_budget(gateways, events, ratio, extra):
    """Guards against a gateway that restarts within the window and uses its share of
    the extra retries once more.
    """
    budgets = [RetryBudget(ratio, extra, WINDOW_S) for _ in range(gateways)]
    now_s, requests, retries = 0.0, [], []
    for pause_s, number, kind in events:
        now_s += pause_s
        gateway = number % gateways
        if kind == "restart":
            budgets[gateway] = RetryBudget(ratio, extra, WINDOW_S, now_s)
        elif kind == "request":
            budgets[gateway].count_request(now_s)
            requests.append(now_s)
        elif budgets[gateway].consume(now_s, gateways):
            retries.append(now_s)
        recent = sum(now_s - WINDOW_S < at_s for at_s in retries)
        counted = sum(now_s - WINDOW_S - BUCKET_S < at_s for at_s in requests)
        assert recent <= ratio * counted + extra + 1e-6


@given(
    st.floats(0.0, 60.0),
    st.integers(1, 60),
    st.text("abcdef", min_size=1, max_size=5),
)
@settings(max_examples=150, derandomize=True)
def test_cold_shares_sum_to_at_most_the_limit(limit, count, endpoint):
    all_gateways = frozenset(f"gateway-{n}" for n in range(count))
    shares = [
        gateway_share(limit, endpoint, g, all_gateways - {g}) for g in all_gateways
    ]
    assert sum(shares) <= limit
    assert sum(shares) > limit - count


@given(st.lists(st.tuples(st.floats(0, 0.4), st.floats(0, 0.4)), max_size=120))
@settings(max_examples=100, derandomize=True)
def test_cold_limit_holds_while_connections_are_opened(steps):
    """Many requests choose one cold endpoint before any connection is made.

    Each has its place reserved from the choice on, so they do not arrive together.
    """
    limiter, share = ColdLimiter(), 5
    now_s, opening, sent = 0.0, [], []
    for pause_s, connect_s in steps:
        now_s += pause_s
        for ready_s in sorted(r for r in opening if r <= now_s):
            limiter.release()
            limiter.count(ready_s)
            sent.append(ready_s)
        opening = [r for r in opening if r > now_s]
        if limiter.allows(now_s, share):
            limiter.reserve()
            opening.append(now_s + connect_s)
    for at_s in sent:
        assert sum(at_s - 1.0 < s <= at_s for s in sent) <= share


@given(st.lists(st.booleans(), max_size=500), st.integers(1, 8))
@settings(max_examples=100, derandomize=True)
def test_rollout_exposure_of_all_gateways_stays_within_its_share(
    target_draws, gateways
):
    order = RolloutOrder("model", "v2", 20.0, 1, 0.0)
    bounds = RolloutSettings(exposure_share=0.15, exposure_extra=30.0)
    fleet = [RolloutProgress(order) for _ in range(gateways)]
    for number, is_drawn in enumerate(target_draws):
        progress = fleet[number % gateways]
        if is_drawn and may_send_to_target(progress, bounds, gateways, number % 2 == 0):
            progress.sent_target += 1
        progress.sent_all += 1
        target = sum(p.sent_target for p in fleet)
        total = sum(p.sent_all for p in fleet)
        assert target <= 0.15 * total + 30


def test_endpoint_is_ejected_after_failures_and_readmitted():
    health = EndpointHealth()
    assert not health.count_failure(1.0, disconnected=True)
    assert not health.count_failure(1.1, disconnected=True)
    assert health.count_failure(1.2, disconnected=True)
    assert health.is_ejected(1.3) and not health.is_ejected(2.0)


def test_ejections_back_off_and_recover():
    health = EndpointHealth()
    ejections_s = []
    for number in range(12):
        if health.count_failure(float(number), disconnected=False):
            ejections_s.append(health.ejected_until_s - number)
    assert ejections_s == sorted(ejections_s) and ejections_s[-1] == 4.0
    for _ in range(20):
        health.count_success()
    assert health.ejections == 0


def test_ejection_time_is_capped():
    """Guards against an ejection time that overflows a float."""
    health = EndpointHealth()
    for number in range(10_000):
        health.count_failure(float(number), True)
    assert health.ejected_until_s == pytest.approx(9_999.0 + MAX_EJECTION_S, abs=2)


def test_endpoint_failing_every_other_request_is_ejected():
    health = EndpointHealth()
    ejections = 0
    for number in range(20):
        if number % 2:
            ejections += health.count_failure(float(number), disconnected=False)
        else:
            health.count_success()
    assert ejections


def test_reported_load_decays_with_age():
    load = EndpointLoad(in_flight=2)
    load.apply_report(running=6, waiting=4, now_s=10.0)
    assert load.estimate(10.0) == 10.0
    assert load.estimate(10.0 + MAX_REPORT_AGE_S / 2) == 6.0
    assert load.estimate(10.0 + MAX_REPORT_AGE_S) == 2.0


def test_sessions_expire():
    sessions = SessionVersions(lifetime_s=5.0)
    sessions.put("model", "s", "v1", 100.0)
    assert sessions.get("model", "s", 110.0) == "v1"
    assert sessions.get("model", "s", 121.0) is None
    assert sessions.get("other", "s", 100.0) is None


def test_session_table_is_bounded():
    sessions = SessionVersions(lifetime_s=5.0)
    for number in range(10_500):
        sessions.put("model", f"s{number}", "v1", 1.0)
    assert sessions.get("model", "s0", 1.0) is None
    assert sessions.get("model", "s10499", 1.0) == "v1"
