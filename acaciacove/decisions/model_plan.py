"""Chooses the model that is queried first, and whether a larger one is queried next.

This is a search with costs. A good answer in time has a value of 1, a late or poor one
less. Each model costs money and an endpoint's time, for which other requests wait. The
next model is queried if it adds more value than it costs (Weitzman, "Optimal Search for
the Best Alternative", 1979, where boxes are opened one after the other).
"""

from collections.abc import Sequence

from attrs import evolve, frozen

from acaciacove.decisions.confidence_calibration import ConfidenceCalibration

# Value of a poor answer, and the value that a good answer loses when it is very late.
POOR_ANSWER_VALUE = 0.05
MAX_LATE_LOSS = 0.5
# Steepness of the loss of value around the latency target. Predicted latencies are
# often wrong by a factor of two, and seldom by a factor of four.
LATENESS_EXPONENT = 2.5
# Steepness of the probability that an answer ends before the deadline, by the share of
# the remaining time that it is expected to take.
FINISH_EXPONENT = 4.0


@frozen
class ModelOption:
    """A model that could be queried now.

    ``price`` is the cost of its answer as a share of the value of a good answer.
    ``first_chunk_s`` is the expected time from now to its first chunk, and ``stream_s``
    the time from there to its end. ``work_s`` is the time for which it occupies an
    endpoint. ``is_largest`` marks the largest model of the route.
    """

    name: str
    is_largest: bool
    price: float
    first_chunk_s: float
    work_s: float
    stream_s: float = 0.0


@frozen
class LatencyContext:
    """Time since the request arrived, its latency target, and the cost of delays.

    ``delayed_per_s`` is the number of other requests that one second of an endpoint's
    work delays by a second. ``delay_weight`` is the cost of delaying one request by
    its latency target, see ``DelayCost``, and ``delayed_target_s`` the usual latency
    target of those requests, None where it is that of this request. ``deadline_s`` is
    the time from arrival to the deadline, None where an answer may end at any time.
    """

    elapsed_s: float
    target_s: float
    delayed_per_s: float = 0.0
    delay_weight: float = 1.0
    deadline_s: float | None = None
    delayed_target_s: float | None = None


def first_model(
    options: Sequence[ModelOption],
    calibration: ConfidenceCalibration,
    context: LatencyContext,
    may_escalate: bool,
) -> str:
    """Return the model to query first.

    ``options`` is ordered by size and not empty. ``may_escalate`` says whether a larger
    model may be queried after the first one.
    """

    def value(index: int) -> float:
        option = options[index]
        good_probability = calibration.quality(option.name, option.is_largest)
        in_time = _good_answer_value(context, option.first_chunk_s)
        poor_value = POOR_ANSWER_VALUE
        if may_escalate and good_probability < 1.0:
            later_context = _context_after(context, option)
            poor_value = max(
                [POOR_ANSWER_VALUE]
                + [
                    _option_value(
                        larger,
                        _recovery_probability(calibration, option, larger),
                        later_context,
                    )
                    for larger in options[index + 1 :]
                ]
            )
        return (
            good_probability * in_time
            + (1.0 - good_probability) * poor_value
            - _cost(option, context)
        )

    return options[max(range(len(options)), key=value)].name


def next_model(
    queried: str,
    confidence: float,
    larger: Sequence[ModelOption],
    calibration: ConfidenceCalibration,
    context: LatencyContext,
    may_escalate_twice: bool,
) -> str | None:
    """Return the model to query after an answer, or None to deliver the answer.

    ``queried`` is the model that answered with ``confidence``. ``larger`` holds the
    larger models, smallest first. ``may_escalate_twice`` says whether another model may
    be queried after the next one.
    """
    best_name = None
    good_probability = calibration.good_probability(confidence)
    best_value = (
        good_probability * _good_answer_value(context, 0.0)
        + (1.0 - good_probability) * POOR_ANSWER_VALUE
    )
    for index, option in enumerate(larger):
        probability = calibration.good_probability_after(
            queried, confidence, option.name
        )
        value = _option_value(option, probability, context)
        if may_escalate_twice and index + 1 < len(larger):
            last = larger[-1]
            last_probability = calibration.good_probability_after(
                queried, confidence, last.name
            )
            recovery = (last_probability - probability) / max(1e-6, 1.0 - probability)
            second_value = _option_value(
                last, max(0.0, recovery), _context_after(context, option)
            )
            value += (1.0 - probability) * max(0.0, second_value - POOR_ANSWER_VALUE)
        if value > best_value:
            best_value, best_name = value, option.name
    return best_name


def _recovery_probability(
    calibration: ConfidenceCalibration, queried: ModelOption, larger: ModelOption
) -> float:
    """Return the probability that ``larger`` answers well if ``queried`` does not."""
    small_quality = calibration.quality(queried.name, queried.is_largest)
    large_quality = calibration.quality(larger.name, larger.is_largest)
    return max(0.0, large_quality - small_quality) / max(1e-6, 1.0 - small_quality)


def _option_value(
    option: ModelOption, probability: float, context: LatencyContext
) -> float:
    good_value = probability * _good_answer_value(context, option.first_chunk_s)
    good_value *= _finish_probability(context, option)
    return good_value + (1.0 - probability) * POOR_ANSWER_VALUE - _cost(option, context)


def _cost(option: ModelOption, context: LatencyContext) -> float:
    target_s = context.delayed_target_s or context.target_s
    delayed_targets = context.delayed_per_s * option.work_s / target_s
    return option.price + context.delay_weight * delayed_targets


def _context_after(context: LatencyContext, option: ModelOption) -> LatencyContext:
    return evolve(context, elapsed_s=context.elapsed_s + option.first_chunk_s)


def _good_answer_value(context: LatencyContext, first_chunk_s: float) -> float:
    """Return the value of a good answer whose first chunk arrives after this time."""
    share = (context.elapsed_s + first_chunk_s) / context.target_s
    lateness = share**LATENESS_EXPONENT / (1.0 + share**LATENESS_EXPONENT)
    return 1.0 - MAX_LATE_LOSS * lateness


def _finish_probability(context: LatencyContext, option: ModelOption) -> float:
    """Return the probability that the answer ends before the request's deadline."""
    if context.deadline_s is None:
        return 1.0
    left_s = context.deadline_s - context.elapsed_s
    if left_s <= 0.0:
        return 0.0
    share = (option.first_chunk_s + option.stream_s) / left_s
    return 1.0 / (1.0 + share**FINISH_EXPONENT)


def lateness_slope(share: float) -> float:
    """Return the value that a good answer loses per latency target of further delay.

    ``share`` is the time to its first chunk as a share of the latency target. This is
    the negative derivative of ``_good_answer_value``.
    """
    if share <= 0.0:
        return 0.0
    power = share**LATENESS_EXPONENT
    return MAX_LATE_LOSS * LATENESS_EXPONENT * power / share / (1.0 + power) ** 2
