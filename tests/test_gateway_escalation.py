"""When a request is escalated to a larger model under load."""

import asyncio

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from acaciacove.decisions.confidence_calibration import ConfidenceCalibration
from acaciacove.decisions.endpoint_backlog import EndpointBacklog
from acaciacove.decisions.model_plan import LatencyContext, ModelOption, next_model
from acaciacove.decisions.queue_delay import QueueDelay
from acaciacove.decisions.stream_time import MAX_AGE_S, StreamTime
from acaciacove.decisions.usual_target import UsualTarget
from acaciacove.gateway.escalation import RELEASE_INTERVAL_S
from acaciacove.gateway.operator_decision import RolloutSpec
from tests.gateway_world import catalogue, draft, lines, run_fleet, runs_of

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
    """Guards against expected times that are negative or longer than any stream, which
    would permit or refuse all larger models.
    """
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
    """Guards against a mean that patient callers dominate: the delay of urgent requests
    would cost too little.
    """
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


def slow_streams(fleet):
    """Let the gateway learn that streams take ten times as long as usual."""
    now_s = asyncio.get_running_loop().time()
    for _ in range(100):
        gateway_of(fleet).overload("model").streams.record_interval(0.1, now_s)


async def fill_queue(fleet, running=40):
    """Let the gateway learn from some answers that endpoints are full."""
    report_queue(fleet, running, 30)
    for number in range(6):
        await draft(f"warm-{number}", key=f"w{number}")
    slow_streams(fleet)


def catalogue_with(limit=100, **changes):
    """Return a catalogue with changed routes and this connection limit of models."""
    base = catalogue()
    model = evolve(base.services["model"], connection_limit=limit)
    routes = tuple(evolve(route, **changes) for route in base.routes)
    return evolve(base, routes=routes, services=base.services | {"model": model})


def models_of(fleet, request_id):
    """Return the models that executed a request."""
    return [a.fields["acaciacove-model"] for a in runs_of(fleet, request_id)]


def outcomes(fleet, request_id="r-1"):
    """Return how the postponed escalations of a request ended."""
    postponed = lines(fleet, "escalation_postponed")
    return [line["outcome"] for line in postponed if line["request_id"] == request_id]


def gateway_of(fleet):
    return fleet.gateways["gateway-0"].gateway


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
        assert outcomes(fleet) == ["kept"]

    run_fleet(scenario, overload_control=True)


def test_without_overload_control_nothing_is_postponed():
    """Guards against a change for deployments that do not ask for it."""

    async def scenario(fleet):
        await fill_queue(fleet)
        await draft("r-1")
        assert [a.fields["acaciacove-model"] for a in runs_of(fleet, "r-1")][-1] == (
            "large"
        )
        assert not lines(fleet, "escalation_postponed")

    run_fleet(scenario)


def test_an_answer_is_kept_if_limits_leave_no_endpoint():
    """Guards against status 502 for an answer that was dropped for nothing."""

    async def scenario(fleet):
        report_queue(fleet, 0, 0)
        fleet.endpoints["model-0"].behaviour.limit_per_s = 2.0
        requests = [draft(f"r-{number}", key=f"k{number}") for number in range(10)]
        answers = await asyncio.gather(*requests)
        assert {answer.status for answer in answers} == {200}
        assert len(fleet.arrivals) < 20

    run_fleet(scenario, models=1)


def test_an_answer_is_kept_if_the_retry_budget_is_used_up():
    """Guards against status 502 for concurrent requests that spend the same budget."""

    async def scenario(fleet):
        report_queue(fleet, 0, 0)
        requests = [draft(f"r-{number}", key=f"k{number}") for number in range(40)]
        answers = await asyncio.gather(*requests)
        assert {answer.status for answer in answers} == {200}
        assert 42 <= len(fleet.arrivals) <= 47

    run_fleet(scenario, retry_extra=5, retry_ratio=0.05)


def test_the_place_of_the_request_itself_does_not_count():
    """Guards against poor answers where the limit is one connection per endpoint."""

    async def scenario(fleet):
        report_queue(fleet, 0, 0)
        assert (await draft("r-1")).status == 200
        assert models_of(fleet, "r-1") == ["small", "large"]

    run_fleet(scenario, models=1, published=catalogue_with(limit=1))


def test_the_deadline_bounds_postponement():
    """Guards against status 504 for an answer that was there in time."""

    async def scenario(fleet):
        await fill_queue(fleet, running=4000)
        began_s = asyncio.get_running_loop().time()
        answer = await draft("r-1")
        assert answer.status == 200 and answer.complete
        assert answer.at_s - began_s < 0.8 and outcomes(fleet) == ["kept"]

    published = catalogue_with(timeout_s=1.0, latency_target_s=4.0)
    run_fleet(scenario, overload_control=True, published=published)


def test_postponed_time_is_not_learnt():
    """Guards against a gateway that takes its own waiting for slow endpoints, in the
    cost of delays, the interval between events and the evidence of a roll-out.
    """

    async def scenario(fleet):
        for server in fleet.endpoints.values():
            server.behaviour.gap_s, server.behaviour.events = 0.1, 10
        fleet.roll_out(RolloutSpec("model", "v2", 60.0))
        for number in range(12):
            await draft(f"calm-{number}", key=f"c{number}")
        await fill_queue(fleet)
        gateway = gateway_of(fleet)
        streams, cost = gateway.overload("model").streams, gateway.delay_cost("model")
        # Calm streams have been learnt: 0.1 s between events, 10 events.
        assert streams.interval_s > 0.05 and streams.events["draft"] == 10
        before = streams.interval_s, cost.slope
        await draft("r-1")
        assert outcomes(fleet) == ["kept"]
        assert streams.interval_s == before[0] and cost.slope < before[1]
        cells = gateway.rollouts["model"].cells(False).values()
        assert sum(cell.timed for cell in cells) >= 7
        assert max(cell.typical_s for cell in cells) < 0.03
        assert sum(cell.late for cell in cells) == 0

    run_fleet(scenario, overload_control=True)


def test_expired_reports_are_no_capacity():
    """Guards against escalations into full endpoints that only have not reported."""

    async def scenario(fleet):
        await fill_queue(fleet, running=4000)
        await draft("r-1")
        assert models_of(fleet, "r-1") == ["small"] and outcomes(fleet) == ["kept"]

    published = catalogue_with(timeout_s=20.0, latency_target_s=6.0)
    run_fleet(scenario, overload_control=True, published=published)


def test_postponed_requests_are_released_one_after_the_other():
    """Guards against filling the endpoints again before the first report shows it."""

    async def scenario(fleet):
        await fill_queue(fleet, running=4000)
        ids = [f"r-{number}" for number in range(8)]
        asked = [asyncio.ensure_future(draft(i, key=i)) for i in ids]
        await asyncio.sleep(0.3)
        report_queue(fleet, 0, 0)
        await asyncio.gather(*(draft(f"new-{n}", key=f"n{n}") for n in range(12)))
        await asyncio.gather(*asked)
        times_s = sorted(runs_of(fleet, i)[-1].at_s for i in ids)
        assert all(models_of(fleet, i) == ["small", "large"] for i in ids)
        gaps_s = [b - a for a, b in zip(times_s, times_s[1:], strict=False)]
        assert min(gaps_s) > 0.9 * RELEASE_INTERVAL_S

    published = catalogue_with(timeout_s=20.0, latency_target_s=6.0)
    run_fleet(scenario, overload_control=True, published=published)


def test_reported_queues_reach_the_backlog_and_are_learnt():
    """Guards against waits that are predicted without the endpoints' reports."""

    async def scenario(fleet):
        report_queue(fleet, 0, 30)
        await draft("r-1")
        gateway, now_s = gateway_of(fleet), asyncio.get_running_loop().time()
        (state,) = [
            gateway.states.of(endpoint)
            for endpoint in gateway.view.endpoints.values()
            if endpoint.service == "model"
        ]
        assert state.backlog.wait_s(now_s, 0.0) > 1.0
        await draft("r-2")
        assert gateway.overload("model").queue_delay.s_per_waiting < 0.02

    run_fleet(scenario, models=1, overload_control=True)


def test_deadline_and_usual_target_reach_the_plan():
    """Guards against estimates that are learnt and then not used."""

    async def scenario(fleet):
        gateway = gateway_of(fleet)
        report_queue(fleet, 1, 0)
        await draft("r-0")
        gateway.overload("model").streams.events["draft"] = 10_000
        await draft("r-1")
        gateway.overload("model").streams.events["draft"] = 4
        slow_streams(fleet)
        for _ in range(400):
            gateway.overload("model").usual_target.learn(0.001)
        await draft("r-2")
        assert models_of(fleet, "r-0")[-1] == "large"
        assert models_of(fleet, "r-1") == ["small"] and not outcomes(fleet)
        assert models_of(fleet, "r-2") == ["small"]
        assert outcomes(fleet, "r-2") == ["kept"]

    run_fleet(scenario, overload_control=True)
