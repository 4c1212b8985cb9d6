"""When a request is escalated to a larger model under load."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from acaciacove.decisions.confidence_calibration import ConfidenceCalibration
from acaciacove.decisions.endpoint_backlog import EndpointBacklog
from acaciacove.decisions.model_plan import LatencyContext, ModelOption, next_model
from acaciacove.decisions.queue_delay import QueueDelay
from acaciacove.decisions.stream_time import MAX_AGE_S, StreamTime
from acaciacove.decisions.usual_target import UsualTarget
from tests.gateway_world import draft, run_fleet, runs_of

TARGET_S = 0.5


def escalates(**changes):
    """Return whether a poor answer is replaced, in a context with these changes."""
    option = ModelOption(
        "m2", True, 0.1, 0.7, 0.7, stream_s=changes.pop("stream_s", 0.5)
    )
    latency = LatencyContext(**({"elapsed_s": 0.2, "target_s": 6.0} | changes))
    calibration = ConfidenceCalibration()
    for _ in range(50):
        calibration.learn_pair("m0", 10.0, "m2", 90.0)
    return next_model("m0", 10.0, [option], calibration, latency, False) is not None


def test_a_larger_model_is_not_asked_for_an_answer_that_cannot_end_in_time():
    """Guards against streams that begin in time and are cut at their deadline: the
    endpoints' time is lost, and the caller gets neither answer.
    """
    assert escalates(deadline_s=8.0)
    assert not escalates(deadline_s=8.0, stream_s=30.0)
    assert not escalates(deadline_s=0.2)


def test_long_prompts_give_way_to_the_urgent_requests_that_they_delay():
    """Guards against a burst of long prompts with patient callers, whose larger models
    delay the answers of callers with a third of their latency target.
    """
    assert escalates(delayed_per_s=2.0)
    assert escalates(delayed_per_s=8.0, delay_weight=0.5)
    assert not escalates(delayed_per_s=8.0, delay_weight=0.5, delayed_target_s=1.5)


def test_a_queue_is_known_from_the_first_report():
    """Guards against waits that are predicted too short in a burst, as a gateway sees
    few answers of each endpoint.
    """
    delay, backlog = QueueDelay(), EndpointBacklog()
    for waiting in (2, 4, 6, 8) * 25:
        delay.learn(waiting, 0.13 * waiting)
    assert abs(delay.s_per_waiting - 0.13) < 0.02
    backlog.report_wait(8 * delay.s_per_waiting, 10.0)
    assert 0.9 < backlog.wait_s(10.0, 0.0) < 1.2
    assert backlog.wait_s(14.0, 0.0) == 0.0


def test_a_request_sent_after_a_report_counts_beside_it():
    """Guards against gateways that send everything to the endpoint of one report."""
    backlog = EndpointBacklog()
    backlog.report_wait(0.5, 10.0)
    backlog.send(1, 0.3, 10.1)
    assert backlog.wait_s(10.1, 0.0) > 0.75


@given(st.lists(st.floats(0.0, 10.0), max_size=60), st.integers(1, 500))
def test_stream_times_stay_within_the_observed_range(intervals_s, events):
    streams = StreamTime()
    streams.record_length("draft", events)
    for number, interval_s in enumerate(intervals_s):
        streams.record_interval(interval_s, 0.01 * number)
    longest_s = max([*intervals_s, 0.03])
    assert 0.0 <= streams.expected_s("draft", 1.0) <= events * longest_s + 1e-9


def test_slow_streams_are_forgotten_once_none_is_running():
    """Guards against refusing larger models long after a burst has ended."""
    streams = StreamTime()
    for number in range(200):
        streams.record_interval(0.03 if number < 100 else 0.5, 0.01 * number)
    assert streams.expected_s("draft", 2.0) > 3.0
    assert streams.expected_s("draft", 2.0 + MAX_AGE_S) < 1.0


def test_the_usual_target_weighs_urgent_requests():
    usual = UsualTarget()
    assert usual.target_s is None
    for number in range(400):
        usual.learn(6.0 if number % 2 else 1.5)
    assert 2.2 < usual.target_s < 2.6


def report_queue(fleet, running, waiting):
    """Have all model endpoints answer with low confidence and report this load."""
    for server in fleet.endpoints.values():
        server.behaviour.confidence = {"small": 5, "large": 90}
        server.behaviour.other_running = running
        server.behaviour.waiting = waiting


async def fill_queue(fleet):
    """Let the gateway learn from some answers that endpoints are full."""
    report_queue(fleet, 40, 30)
    for number in range(6):
        await draft(f"warm-{number}", key=f"w{number}")


def test_a_larger_model_is_asked_once_endpoints_have_capacity():
    """Guards against poor answers in a short burst, where waiting a part of the latency
    target would have been enough.
    """

    async def scenario(fleet):
        await fill_queue(fleet)
        asked = asyncio.ensure_future(draft("r-1"))
        await asyncio.sleep(0.15)
        assert len(runs_of(fleet, "r-1")) == 1
        report_queue(fleet, 0, 0)
        new = [
            asyncio.ensure_future(draft(f"new-{number}", key=f"n{number}"))
            for number in range(12)
        ]
        answer = await asked
        await asyncio.gather(*new)
        models = [a.fields["acaciacove-model"] for a in runs_of(fleet, "r-1")]
        assert answer.status == 200 and models == ["small", "large"]

    run_fleet(scenario, overload_control=True)


def test_the_smaller_answer_is_delivered_if_endpoints_stay_full():
    """Guards against answers that are dropped for a larger model that has no capacity
    before the latency target.
    """

    async def scenario(fleet):
        await fill_queue(fleet)
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        answer = await draft("r-1")
        models = [a.fields["acaciacove-model"] for a in runs_of(fleet, "r-1")]
        assert answer.status == 200 and answer.complete and models == ["small"]
        assert loop.time() - began_s <= TARGET_S

    run_fleet(scenario, overload_control=True)


def test_without_overload_control_nothing_is_postponed():
    """Guards against a change for deployments that do not ask for it."""

    async def scenario(fleet):
        await fill_queue(fleet)
        await draft("r-1")
        assert [a.fields["acaciacove-model"] for a in runs_of(fleet, "r-1")][-1] == (
            "large"
        )

    run_fleet(scenario)
