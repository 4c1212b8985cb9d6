"""Ramps, queues and budgets protect endpoints and the shares of organisations."""

from hypothesis import given, settings
from hypothesis import strategies as st

from acaciacove.decisions.admission import AdmissionQueue
from acaciacove.decisions.admission_settings import AdmissionSettings
from acaciacove.decisions.budget import Budget
from acaciacove.decisions.concurrency_limit import ConcurrencyLimit
from acaciacove.decisions.hedging import HedgeDelays, should_hedge
from acaciacove.decisions.ramp import Ramp
from acaciacove.decisions.waiting_item import WaitingItem
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId
from acaciacove.messages.load import Load
from acaciacove.reason import Reason

VERSION = Version(VersionId("guide", "1"), "guide", 1.0, cold_bears=2, warm_bears=16)


def item(
    number, organisation="ozark", tokens=10.0, deadline=1e6, batch=False, weight=1.0
):
    return WaitingItem(
        f"{organisation}-{number}", organisation, weight, tokens, deadline, batch
    )


def run_items(queue, count, step_s=1.0):
    """Run items one after the other and return them in order."""
    order, now_s = [], 0.0
    for _ in range(count):
        taken = queue.next(now_s)
        if taken is None:
            break
        order.append(taken)
        now_s += step_s
        queue.finish(taken, now_s, ok=True)
    return order


def test_a_flood_does_not_take_the_share_of_other_organisations():
    # One organisation sends a hundred requests at once, then another sends five. In
    # order of arrival, the second one would wait for all requests of the first.
    queue = AdmissionQueue(limit=1)
    for number in range(100):
        assert queue.offer(item(number, "flood"), 0.0) is None
    for number in range(5):
        assert queue.offer(item(number, "small"), 0.0) is None
    order = [taken.organisation for taken in run_items(queue, 12)]
    assert order.count("small") == 5


def test_weights_set_the_shares():
    queue = AdmissionQueue(limit=1)
    for number in range(80):
        queue.offer(item(number, "large", weight=3.0), 0.0)
        queue.offer(item(number, "small", weight=1.0), 0.0)
    order = [taken.organisation for taken in run_items(queue, 80)]
    assert 58 <= order.count("large") <= 62


def test_batch_work_yields_but_does_not_starve():
    queue = AdmissionQueue(limit=1)
    for number in range(120):
        queue.offer(item(number, "chat"), 0.0)
        queue.offer(item(number, "reports", batch=True), 0.0)
    batch = sum(taken.batch for taken in run_items(queue, 100))
    assert 8 <= batch <= 12


def test_refused_work_earns_no_credit():
    # Most requests of a flood expire and are refused. If refused requests earned
    # credit, the flood would displace the organisation that sends little.
    queue = AdmissionQueue(AdmissionSettings(min_samples=0, token_s=0.0), limit=1)
    now_s = 0.0
    shares = {"flood": 0, "small": 0}
    for round_ in range(200):
        for number in range(3):
            queue.offer(
                item(f"{round_}-{number}", "flood", deadline=now_s + 8.0), now_s
            )
        if round_ % 2 == 0:
            queue.offer(item(f"{round_}", "small", deadline=now_s + 8.0), now_s)
        taken = queue.next(now_s)
        shares[taken.organisation] += 1
        now_s += 1.0
        queue.finish(taken, now_s, ok=True)
        queue.take_refused()
    assert shares["small"] >= 95


def test_work_that_cannot_end_in_time_is_refused_at_once():
    # At twice the capacity, a queue grows until all its items miss their deadlines.
    # Callers wait for answers that come too late, and these answers occupy slots.
    queue = AdmissionQueue(limit=1)
    for number in range(10):
        queue.offer(item(number, tokens=10.0), 0.0)
    run_items(queue, 10, step_s=10.0)
    for number in range(10, 14):
        assert queue.offer(item(number), 100.0) is None
    refusal = queue.offer(item(99, deadline=120.0), 100.0)
    assert refusal.reason is Reason.DEADLINE_EXCEEDED
    assert refusal.not_run and refusal.retry_after_s > 0.0


STEPS = ["offer", "next", "finish", "cancel"]
steps = st.lists(
    st.tuples(st.sampled_from(STEPS), st.integers(0, 30)),
    max_size=120,
)


@given(steps, st.integers(1, 4))
@settings(derandomize=True, deadline=None, max_examples=150)
def test_every_item_is_run_refused_or_cancelled_at_most_once(actions, limit):
    queue = AdmissionQueue(AdmissionSettings(max_queue=6), limit=limit)
    offered, ran, refused, cancelled = set(), set(), set(), set()
    for now_s, (action, number) in enumerate(actions):
        if action == "offer":
            new = item(
                f"{now_s}", f"org-{number % 3}", 1 + number, now_s + 9.0 + number
            )
            offered.add(new.request_id)
            if queue.offer(new, float(now_s)) is not None:
                refused.add(new.request_id)
        elif action == "next" and (taken := queue.next(float(now_s))) is not None:
            assert taken.request_id not in ran
            ran.add(taken.request_id)
        elif action == "finish" and queue.running:
            name = sorted(queue.running)[number % len(queue.running)]
            queue.finish(queue.running[name][0], float(now_s), ok=True)
        elif action == "cancel" and offered:
            name = sorted(offered)[number % len(offered)]
            if queue.cancel(name):
                cancelled.add(name)
        refused |= {
            refused_item.item.request_id for refused_item in queue.take_refused()
        }
        assert len(queue.running) <= limit
        assert queue.queued <= 6
    assert not (ran & refused or ran & cancelled or refused & cancelled)
    assert len(offered) == len(ran) + len(refused) + len(cancelled) + queue.queued


def test_a_cold_endpoint_starts_at_its_cold_capacity_and_ends_warm():
    ramp = Ramp(VERSION, 0.0)
    assert ramp.limit(0.0) == 2
    limits = []
    for second in range(90):
        ramp.finished(0.03, True, float(second))
        limits.append(ramp.limit(float(second)))
        capacity = 2 + 14 * min(1.0, second / 60.0)
        assert limits[-1] <= capacity
    assert limits == sorted(limits) and limits[-1] == 16


def test_time_alone_does_not_warm_an_endpoint():
    # A fresh endpoint is idle for an hour, and its caches are still cold. With the warm
    # limit, the first burst would overload it.
    assert Ramp(VERSION, 0.0).limit(3600.0) == 2


def test_an_endpoint_that_turns_cold_unannounced_restarts_its_ramp():
    # An engine restarts within its instance, or its accelerator is throttled, without
    # any message. Answers stall, and more work makes it worse.
    for sign in ("gap", "latency", "restart", "report"):
        ramp = Ramp(VERSION, 0.0, warm=True)
        for second in range(30):
            ramp.finished(0.03, True, float(second))
            ramp.reported(Load(), 1, float(second))
        assert ramp.limit(30.0) == 16
        if sign == "gap":
            ramp.observed_gap(0.3, 31.0)
        elif sign == "latency":
            for _ in range(3):
                ramp.finished(0.2, True, 31.0)
        else:
            ramp.reported(Load(cold=sign == "report"), 1 + (sign == "restart"), 31.0)
        assert ramp.limit(31.0) == 2, sign


def test_single_cancelled_or_slow_requests_do_not_restart_the_ramp():
    # One caller cancels, another sends a long prompt. If either restarted the ramp, all
    # other requests would queue although the endpoint is warm.
    ramp = Ramp(VERSION, 0.0, warm=True)
    for second in range(40):
        ramp.finished(0.03, True, float(second))
        if second % 4 == 0:
            ramp.finished(0.5, second % 8 == 0, float(second))
    assert ramp.limit(40.0) == 16


def test_the_adaptive_limit_cuts_once_per_burst_of_slow_answers():
    limit = ConcurrencyLimit(16.0)
    for second in range(30):
        limit.finished(0.03, float(second), True, second + 1.0, 16)
    for _ in range(5):
        limit.finished(0.3, 30.0, True, 35.0, 16)
    assert 12.0 <= limit.limit < 16.0


@given(st.lists(st.booleans(), max_size=300))
@settings(derandomize=True, deadline=None, max_examples=100)
def test_retries_stay_within_their_share(attempts):
    budget, first, extra = Budget(0.1), 0, 0
    for is_first in attempts:
        if is_first:
            budget.earn()
            first += 1
        else:
            extra += budget.spend()
    assert extra <= 10 + 0.1 * first + 1e-6


def test_a_call_that_may_not_be_repeated_is_never_hedged():
    # The first attempt of a booking call is slow. A hedge could book twice.
    delays = HedgeDelays()
    for _ in range(100):
        delays.record("call", 0.2)
    delay_s = delays.delay_s("call")
    assert should_hedge(1.0, delay_s, True, 9.0, Budget(0.1))
    assert not should_hedge(1.0, delay_s, False, 9.0, Budget(0.1))
    assert not should_hedge(1.0, delay_s, True, 9.0, Budget(0.1, tokens=0.0))
