"""Which model answers a request first, and whether a larger one is asked after it.

Search with costs: an answer is worth 1 when it is good and in time, and less when late
or poor. Each model costs money and an endpoint's time, which others wait for. The next
model is asked while what it adds is worth more than what it costs (Weitzman, "Optimal
Search for the Best Alternative", 1979, for boxes that are opened in turn).
"""

from collections.abc import Sequence

from attrs import evolve, frozen

from acaciacove.decisions.confidence_beliefs import ConfidenceBeliefs

# What an answer is worth that is too poor, and what a late one loses.
POOR_WORTH = 0.05
LATE_LOSS = 0.5
# How surely a first piece that is expected at its target is late: predictions are off
# by a factor of two often, by four seldom.
SPREAD = 2.5


@frozen
class ModelOption:
    """One model that could be asked now.

    ``price`` is what its answer costs as a share of what a good answer is worth,
    ``piece_s`` when its first piece is expected from now on, ``work_s`` for how long
    it occupies an endpoint. ``is_largest`` tells the last of its route's sizes.
    """

    name: str
    is_largest: bool
    price: float
    piece_s: float
    work_s: float


@frozen
class Moment:
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
    beliefs: ConfidenceBeliefs,
    moment: Moment,
    may_go_on: bool,
) -> str:
    """Return the model to ask first; ``options`` are ordered by size, not empty."""

    def worth(place: int) -> float:
        option = options[place]
        good = beliefs.quality(option.name, option.is_largest)
        in_time = _in_time(moment, option.piece_s)
        rest = POOR_WORTH
        if may_go_on and good < 1.0:
            later = _after(moment, option)
            rest = max(
                [POOR_WORTH]
                + [
                    _worth_of(larger, _gain(beliefs, option, larger), later)
                    for larger in options[place + 1 :]
                ]
            )
        return good * in_time + (1.0 - good) * rest - _cost(option, moment)

    return options[max(range(len(options)), key=worth)].name


def next_model(
    asked: str,
    confidence: float,
    larger: Sequence[ModelOption],
    beliefs: ConfidenceBeliefs,
    moment: Moment,
    may_go_on_twice: bool,
) -> str | None:
    """Return the model to ask after an answer, or None where the answer is to stay.

    ``larger`` holds the models above ``asked``, smallest first. ``may_go_on_twice``
    tells that still another could be asked after the next.
    """
    best_name = None
    good = beliefs.good_share(confidence)
    best = good * _in_time(moment, 0.0) + (1.0 - good) * POOR_WORTH
    for place, option in enumerate(larger):
        likely = beliefs.good_share_of(asked, confidence, option.name)
        worth = _worth_of(option, likely, moment)
        if may_go_on_twice and place + 1 < len(larger):
            last = larger[-1]
            likely_last = beliefs.good_share_of(asked, confidence, last.name)
            gain = (likely_last - likely) / max(1e-6, 1.0 - likely)
            again = _worth_of(last, max(0.0, gain), _after(moment, option))
            worth += (1.0 - likely) * max(0.0, again - POOR_WORTH)
        if worth > best:
            best, best_name = worth, option.name
    return best_name


def _gain(beliefs: ConfidenceBeliefs, asked: ModelOption, larger: ModelOption) -> float:
    """Return how likely ``larger`` answers well what ``asked`` does not."""
    small = beliefs.quality(asked.name, asked.is_largest)
    large = beliefs.quality(larger.name, larger.is_largest)
    return max(0.0, large - small) / max(1e-6, 1.0 - small)


def _worth_of(option: ModelOption, likely: float, moment: Moment) -> float:
    answered = likely * _in_time(moment, option.piece_s)
    return answered + (1.0 - likely) * POOR_WORTH - _cost(option, moment)


def _cost(option: ModelOption, moment: Moment) -> float:
    delayed = moment.delayed_per_s * option.work_s / moment.target_s
    return option.price + moment.delay_weight * delayed


def _after(moment: Moment, option: ModelOption) -> Moment:
    return evolve(moment, elapsed_s=moment.elapsed_s + option.piece_s)


def _in_time(moment: Moment, piece_s: float) -> float:
    """Return what a good answer is worth when its first piece comes then."""
    share = (moment.elapsed_s + piece_s) / moment.target_s
    late = share**SPREAD / (1.0 + share**SPREAD)
    return 1.0 - LATE_LOSS * late


def late_slope(share: float) -> float:
    """Return what a good answer loses for each target of further delay.

    ``share`` is the time to its first piece as a share of its target.
    """
    if share <= 0.0:
        return 0.0
    power = share**SPREAD
    return LATE_LOSS * SPREAD * power / share / (1.0 + power) ** 2
