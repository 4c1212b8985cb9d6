"""Which model answers a request first, and whether a larger one is asked after it.

Search with costs: an answer is worth 1 when it is good and in time, and less when late
or poor. Each model costs money and an endpoint's time, which others wait for. The next
model is asked while what it adds is worth more than what it costs (Weitzman, "Optimal
Search for the Best Alternative", 1979, for boxes that are opened in turn).
"""

from collections.abc import Sequence

from attrs import evolve, frozen

from acaciacove.decisions.confidence_calibration import ConfidenceCalibration

# What an answer is worth that is too poor, and what a late one loses.
POOR_ANSWER_VALUE = 0.05
MAX_LATE_LOSS = 0.5
# How surely a first piece that is expected at its target is late: predictions are off
# by a factor of two often, by four seldom.
LATENESS_EXPONENT = 2.5


@frozen
class ModelOption:
    """One model that could be asked now.

    ``price`` is what its answer costs as a share of what a good answer is worth,
    ``first_chunk_s`` when its first piece is expected from now on, ``work_s`` for how
    long it occupies an endpoint. ``is_largest`` tells the last of its route's sizes.
    """

    name: str
    is_largest: bool
    price: float
    first_chunk_s: float
    work_s: float


@frozen
class LatencyContext:
    """When a decision is made: time since the request came, and its target.

    ``delayed_per_s`` is how many other requests a second of an endpoint's work delays
    by a second, and ``delay_weight`` what it costs to delay one by its target.
    """

    elapsed_s: float
    target_s: float
    delayed_per_s: float = 0.0
    delay_weight: float = 1.0


def first_model(
    options: Sequence[ModelOption],
    calibration: ConfidenceCalibration,
    context: LatencyContext,
    may_escalate: bool,
) -> str:
    """Return the model to ask first; ``options`` are ordered by size, not empty."""

    def worth(place: int) -> float:
        option = options[place]
        good = calibration.quality(option.name, option.is_largest)
        in_time = _good_answer_value(context, option.first_chunk_s)
        rest = POOR_ANSWER_VALUE
        if may_escalate and good < 1.0:
            later = _context_after(context, option)
            rest = max(
                [POOR_ANSWER_VALUE]
                + [
                    _option_value(
                        larger,
                        _recovery_probability(calibration, option, larger),
                        later,
                    )
                    for larger in options[place + 1 :]
                ]
            )
        return good * in_time + (1.0 - good) * rest - _cost(option, context)

    return options[max(range(len(options)), key=worth)].name


def next_model(
    asked: str,
    confidence: float,
    larger: Sequence[ModelOption],
    calibration: ConfidenceCalibration,
    context: LatencyContext,
    may_escalate_twice: bool,
) -> str | None:
    """Return the model to ask after an answer, or None where the answer is to stay.

    ``larger`` holds the models above ``asked``, smallest first. ``may_escalate_twice``
    tells that still another could be asked after the next.
    """
    best_name = None
    good = calibration.good_probability(confidence)
    best = good * _good_answer_value(context, 0.0) + (1.0 - good) * POOR_ANSWER_VALUE
    for place, option in enumerate(larger):
        likely = calibration.good_probability_after(asked, confidence, option.name)
        worth = _option_value(option, likely, context)
        if may_escalate_twice and place + 1 < len(larger):
            last = larger[-1]
            likely_last = calibration.good_probability_after(
                asked, confidence, last.name
            )
            gain = (likely_last - likely) / max(1e-6, 1.0 - likely)
            again = _option_value(last, max(0.0, gain), _context_after(context, option))
            worth += (1.0 - likely) * max(0.0, again - POOR_ANSWER_VALUE)
        if worth > best:
            best, best_name = worth, option.name
    return best_name


def _recovery_probability(
    calibration: ConfidenceCalibration, asked: ModelOption, larger: ModelOption
) -> float:
    """Return how likely ``larger`` answers well what ``asked`` does not."""
    small = calibration.quality(asked.name, asked.is_largest)
    large = calibration.quality(larger.name, larger.is_largest)
    return max(0.0, large - small) / max(1e-6, 1.0 - small)


def _option_value(option: ModelOption, likely: float, context: LatencyContext) -> float:
    answered = likely * _good_answer_value(context, option.first_chunk_s)
    return answered + (1.0 - likely) * POOR_ANSWER_VALUE - _cost(option, context)


def _cost(option: ModelOption, context: LatencyContext) -> float:
    delayed = context.delayed_per_s * option.work_s / context.target_s
    return option.price + context.delay_weight * delayed


def _context_after(context: LatencyContext, option: ModelOption) -> LatencyContext:
    return evolve(context, elapsed_s=context.elapsed_s + option.first_chunk_s)


def _good_answer_value(context: LatencyContext, first_chunk_s: float) -> float:
    """Return what a good answer is worth when its first piece comes then."""
    share = (context.elapsed_s + first_chunk_s) / context.target_s
    late = share**LATENESS_EXPONENT / (1.0 + share**LATENESS_EXPONENT)
    return 1.0 - MAX_LATE_LOSS * late


def lateness_slope(share: float) -> float:
    """Return what a good answer loses for each target of further delay.

    ``share`` is the time to its first piece as a share of its target.
    """
    if share <= 0.0:
        return 0.0
    power = share**LATENESS_EXPONENT
    return MAX_LATE_LOSS * LATENESS_EXPONENT * power / share / (1.0 + power) ** 2
