"""Which model is asked, and at which endpoint, as pure decisions."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciacove.decisions.confidence_calibration import ConfidenceCalibration
from acaciacove.decisions.delay_cost import DelayCost
from acaciacove.decisions.endpoint_backlog import EndpointBacklog, baseline_wait_s
from acaciacove.decisions.gossip_threshold import GossipThreshold
from acaciacove.decisions.model_plan import (
    LatencyContext,
    ModelOption,
    first_model,
    next_model,
)
from acaciacove.decisions.prefill_latency import PrefillLatency

CALM = LatencyContext(elapsed_s=0.2, target_s=3.0)
CONFIDENCES = st.floats(0.0, 100.0)


def options(prices=(0.02, 0.1, 0.2), work_s=(0.05, 0.12, 0.4), wait_s=0.0):
    return [
        ModelOption(f"m{rank}", rank == 2, price, wait_s + work, work)
        for rank, (price, work) in enumerate(zip(prices, work_s, strict=True))
    ]


def reading(ability, need, random):
    told = 50.0 + 150.0 * (ability - need) + random.gauss(0.0, 8.0)
    return min(100.0, max(0.0, told))


def taught(abilities, requests=400, seed=1):
    """Beliefs after requests that all models answered."""
    random, calibration = Random(seed), ConfidenceCalibration()
    names = [f"m{rank}" for rank in range(len(abilities))]
    for first, second in ((0, 1), (0, 2), (1, 2)):
        calibration.offset(names[first], names[second], second == 2)
    for _ in range(requests):
        need = random.random()
        told = [reading(ability, need, random) for ability in abilities]
        for rank, name in enumerate(names):
            calibration.learn_answer(name, rank == 2, told[rank])
        for first, second in ((0, 1), (0, 2), (1, 2)):
            calibration.learn_pair(
                names[first], told[first], names[second], told[second]
            )
    return calibration


def test_offsets_and_noise_are_learnt_from_pairs():
    calibration = taught((0.54, 0.64, 1.0))
    assert calibration.offset("m0", "m1").margin == pytest.approx(15.0, abs=6.0)
    assert calibration.offset("m0", "m2").margin == pytest.approx(69.0, abs=12.0)
    assert 6.0 < calibration.noise < 12.0
    assert calibration.quality("m0", False) == pytest.approx(0.54, abs=0.06)


def test_a_medium_model_close_to_the_largest_is_asked_instead():
    """A customer's middle model answers nearly all that the largest does, at half of
    its price and a third of its time. A cascade that knows only the smallest and the
    largest would pay twice, and queues would grow behind the largest.
    """
    calibration = taught((0.3, 0.95, 1.0))
    asked = [
        next_model("m0", told, options()[1:], calibration, CALM, True)
        for told in (0.0, 15.0, 30.0, 45.0)
    ]
    assert set(asked) == {"m1"}


def test_a_medium_model_close_to_the_smallest_is_skipped():
    calibration = taught((0.54, 0.56, 1.0))
    asked = [
        next_model("m0", told, options()[1:], calibration, CALM, True)
        for told in (0.0, 15.0, 30.0)
    ]
    assert set(asked) == {"m2"}


def test_a_confident_answer_is_delivered_and_an_unsure_one_escalates():
    calibration = taught((0.54, 0.64, 1.0))
    assert next_model("m0", 90.0, options()[1:], calibration, CALM, True) is None
    assert next_model("m0", 5.0, options()[1:], calibration, CALM, True) is not None


def test_fewer_answers_escalate_under_load():
    """Two of five engines are down and the queues are seconds long. Each request that
    is asked of the largest model as well makes all behind it wait.
    """
    calibration = taught((0.54, 0.64, 1.0))
    crowd = LatencyContext(elapsed_s=1.5, target_s=3.0, delayed_per_s=5.0)

    def dropped(moment, wait_s):
        larger = options(wait_s=wait_s)[1:]
        return sum(
            next_model("m0", float(told), larger, calibration, moment, True) is not None
            for told in range(101)
        )

    assert dropped(crowd, 1.5) < dropped(CALM, 0.0)
    assert dropped(crowd, 1.5) > 0


def delays_of(shares):
    cost = DelayCost()
    for share in shares:
        cost.learn(share * 2.0, 2.0)
    return cost


def test_many_short_waits_cost_less_than_few_long_ones():
    """Many requests a second behind engines that are hardly late lose nothing by a
    little delay; answers that their model doubts are dropped for a larger one's there.
    """
    calibration = taught((0.54, 0.64, 1.0))
    short, long = delays_of([0.1] * 200), delays_of([0.7] * 200)
    assert short.weight < 0.2
    assert long.weight > 0.8

    def dropped(cost):
        crowd = LatencyContext(0.3, 3.0, delayed_per_s=1.0, delay_weight=cost.weight)
        return sum(
            next_model("m0", float(told), options()[1:], calibration, crowd, True)
            is not None
            for told in range(101)
        )

    assert dropped(short) > dropped(long)


def test_delays_count_in_full_until_answers_show_what_they_cost():
    assert DelayCost().weight == 1.0


@given(st.lists(st.floats(0.0, 1e6), max_size=50))
@settings(max_examples=100, derandomize=True)
def test_the_weight_of_delays_stays_a_share(shares):
    assert 0.0 <= delays_of(shares).weight <= 1.0


def test_the_first_model_depends_on_prices_and_abilities():
    calibration = taught((0.54, 0.64, 1.0))
    assert first_model(options(), calibration, CALM, True) == "m0"
    dear_small = options(prices=(0.2, 0.21, 0.22), work_s=(0.3, 0.31, 0.32))
    assert first_model(dear_small, calibration, CALM, True) == "m2"
    assert first_model(options(), calibration, CALM, False) == "m2"


def test_free_models_and_single_models_can_be_chosen():
    calibration = ConfidenceCalibration()
    free = options(prices=(0.0, 0.0, 0.0))
    assert first_model(free, calibration, CALM, True) in {"m0", "m1", "m2"}
    assert first_model(free[:1], calibration, CALM, True) == "m0"
    assert next_model("m0", 10.0, [], calibration, CALM, False) is None


@given(st.lists(st.tuples(CONFIDENCES, CONFIDENCES), max_size=60), CONFIDENCES)
@settings(max_examples=100, derandomize=True)
def test_calibrated_values_stay_probabilities_for_any_confidence(pairs, told):
    calibration = ConfidenceCalibration()
    for first, second in pairs:
        calibration.learn_answer("m0", False, first)
        calibration.learn_pair("m0", first, "m2", second)
    assert 0.0 <= calibration.good_probability(told) <= 1.0
    assert 0.0 <= calibration.good_probability_after("m0", told, "m2") <= 1.0
    assert 0.0 <= calibration.quality("m0", False) <= 1.0
    assert calibration.noise > 0.0


def test_prompt_reading_time_is_learnt_despite_queue_waits():
    """First pieces come late as often as not, because of queues. Taken for the model's
    pace, the waits would make every endpoint look slow for ever.
    """
    random, pace = Random(3), PrefillLatency()
    for _ in range(300):
        tokens = random.choice((500, 3_000, 15_000))
        wait_s = random.expovariate(4.0) if random.random() < 0.5 else 0.0
        pace.learn(tokens, 0.03 + tokens * 20e-6 + wait_s)
    assert pace.predict_s(500) == pytest.approx(0.04, abs=0.06)
    assert pace.predict_s(15_000) == pytest.approx(0.33, rel=0.3)


def test_an_overdue_request_raises_the_wait_before_its_answer():
    """An engine stands still. Its requests are not answered, so nothing is reported of
    it; one that is overdue shows it, and callers are sent to the others.
    """
    stuck, other = EndpointBacklog(), EndpointBacklog()
    stuck.send(1, 0.1, now_s=10.0)
    other.send(2, 0.1, now_s=10.0)
    other.record_first_chunk(2, 10.1)
    assert stuck.wait_s(10.1, 0.0) < 0.2
    assert stuck.wait_s(11.0, 0.0) > 0.8
    assert other.wait_s(11.0, 0.0) < 0.1
    stuck.record_first_chunk(1, 13.0)
    assert stuck.wait_s(13.0, 0.0) > 1.0
    assert stuck.wait_s(17.0, 0.0) == 0.0


def test_the_wait_includes_earlier_local_requests():
    backlog = EndpointBacklog()
    backlog.send(1, 0.4, now_s=5.0)
    backlog.send(2, 0.3, now_s=5.1)
    assert backlog.wait_s(5.1, 0.0) == pytest.approx(0.6)
    assert backlog.record_first_chunk(1, 5.4) == pytest.approx(0.4)
    assert backlog.wait_s(5.4, 0.0) == pytest.approx(0.3)
    backlog.discard(2, 5.45)
    assert backlog.wait_s(5.45, 0.0) == pytest.approx(0.0)


def test_an_unknown_endpoint_counts_with_part_of_the_baseline_wait():
    known, unknown = EndpointBacklog(), EndpointBacklog()
    known.send(1, 0.1, 0.0)
    known.record_first_chunk(1, 1.1)
    usual = baseline_wait_s([known, unknown], 1.1)
    assert 0.0 < unknown.wait_s(1.1, usual) < known.wait_s(1.1, usual)


def test_peer_work_counts_until_a_later_local_request_is_answered():
    backlog = EndpointBacklog()
    backlog.add_peer_work(0.8, now_s=5.0)
    backlog.send(1, 0.1, now_s=5.2)
    backlog.add_peer_work(0.5, now_s=5.3)
    assert backlog.wait_s(5.3, 0.0) == pytest.approx(1.1)
    assert backlog.record_first_chunk(1, 5.9) == pytest.approx(0.1)
    assert backlog.wait_s(5.9, 0.0) == pytest.approx(0.5)


def test_peer_work_expires_when_its_time_has_passed():
    """Guards against a queue that never empties where no own answer comes."""
    backlog = EndpointBacklog()
    backlog.add_peer_work(0.8, now_s=5.0)
    backlog.add_peer_work(0.2, now_s=7.0)
    assert backlog.wait_s(7.0, 0.0) == pytest.approx(0.2)
    assert len(backlog.peer_work) == 1


@given(
    st.lists(st.tuples(st.floats(0.0, 2.0), st.floats(0.0, 5.0)), max_size=200),
    st.integers(1, 20_000),
)
@settings(max_examples=200, derandomize=True)
def test_gossip_of_work_stays_within_its_budget(moments, cost_bytes):
    threshold = GossipThreshold(bytes_per_s=2_500.0)
    now_s, told_bytes = 0.0, 0
    for gap_s, work_s in moments:
        now_s += gap_s
        if threshold.admits(work_s, cost_bytes, now_s):
            told_bytes += cost_bytes
    assert told_bytes <= 2_500.0 * now_s + cost_bytes


def test_gossip_of_work_prefers_the_longest_requests():
    threshold = GossipThreshold(bytes_per_s=1_000.0)
    random = Random(3)
    offered = [(step * 0.05, random.uniform(0.0, 3.0)) for step in range(4_000)]
    told = [w for at_s, w in offered if threshold.admits(w, 1_000, at_s)]
    assert len(told) > 150
    assert sum(told) / len(told) > 2.0
