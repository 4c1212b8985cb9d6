"""Counts and estimates that entries share."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from acaciacove.decisions.quality_estimates import EPOCH_RATINGS, QualityEstimates
from acaciacove.decisions.rated_class import RatedClass, parse_rated_class
from acaciacove.decisions.response_bias import fit_response_bias
from acaciacove.decisions.shared_counts import SharedCounts
from acaciacove.decisions.tally import Tally
from acaciacove.fleet.version_id import VersionId

SMALL = VersionId("guide-small", "1")
events = st.lists(st.tuples(st.integers(0, 2), st.sampled_from("abc")), max_size=40)


@given(events, st.randoms(use_true_random=False))
@settings(derandomize=True, deadline=None, max_examples=100)
def test_lost_duplicated_and_reordered_messages_give_the_same_sums(counted, rng):
    # Entries exchange counters over messages that are lost, sent twice or overtake
    # each other. If a merge added them up, quality would be learned from ratings
    # that nobody gave.
    origins = [SharedCounts(f"entry-{n}") for n in range(3)]
    messages = []
    for origin, name in counted:
        origins[origin].add((name,), 0.5)
        messages.append(origins[origin].export_delta(limit=2))
    reader = SharedCounts("reader")
    rng.shuffle(messages)
    for message in messages + messages[: len(messages) // 2]:
        reader.merge(message)
    for origin in origins:
        for _ in range(8):
            reader.merge(origin.export_delta(limit=2))
    for name in "abc":
        assert reader.tally((name,)).count == sum(n == name for _, n in counted)


def test_export_is_limited_however_many_cells_changed():
    counts = SharedCounts("entry-1")
    for number in range(500):
        counts.add((str(number),))
    assert len(counts.export_delta(limit=32)) == 32


def test_old_epochs_expire():
    # A version that answered well for months starts to answer badly. Were all its
    # ratings kept with equal weight, the estimate would take months to follow.
    estimates = QualityEstimates("entry-1")
    for _ in range(200):
        estimates.record_rating(SMALL, "interactive-short", 0.9, 0)
    later = EPOCH_RATINGS * 5
    for _ in range(200):
        estimates.record_rating(SMALL, "interactive-short", 0.3, later)
    estimate = estimates.estimate(SMALL, "interactive-short", 0.9)
    assert abs(estimate.mean - 0.3) < 0.05


def test_biased_sampling_does_not_shift_the_mean():
    # The rating service rates doubtful answers far more often than clear ones. The
    # plain mean of its ratings would call a good version bad.
    estimates = QualityEstimates("entry-1")
    for bin_, score, rated in ((1, 0.2, 100), (6, 0.9, 100)):
        seen = 100 if bin_ == 1 else 900
        for _ in range(seen):
            estimates.record_answer(SMALL, "interactive-short", bin_)
        for _ in range(rated):
            name = str(RatedClass("interactive-short", "", bin_))
            estimates.record_rating(SMALL, name, score)
    estimate = estimates.estimate(SMALL, "interactive-short", 0.5)
    assert abs(estimate.mean - 0.83) < 0.05


@given(st.text(max_size=30))
@settings(derandomize=True, deadline=None, max_examples=100)
def test_any_class_text_of_the_rating_service_can_be_parsed(text):
    assert parse_rated_class(text).signal_bin >= 0


def test_rated_class_round_trips():
    rated = RatedClass("batch-long", "guide-small@1", 3)
    assert parse_rated_class(str(rated)) == rated


def test_overrepresented_ratings_of_unhappy_callers_are_corrected():
    # Callers who got a poor answer rate three times as often. The plain mean makes
    # the cheap version look worse than it is, and callers pay for the dear one.
    rng = Random(3)
    bins = []
    scores = []
    for level in (0.3, 0.5, 0.7, 0.9):
        tally, seen = Tally(), 4000
        for _ in range(seen):
            score = min(1.0, max(0.0, rng.gauss(level, 0.15)))
            scores.append(score)
            if rng.random() < 0.05 * (1.0 + 2.0 * (1.0 - score)):
                tally = tally.plus(1.0, score, score * score)
        bins.append((float(seen), tally))
    true_mean = sum(scores) / len(scores)
    bias = fit_response_bias(bins)
    plain = sum(tally.mean for _, tally in bins) / 4
    corrected = sum(bias.correct(tally).mean for _, tally in bins) / 4
    assert bias.slope > 0.5
    assert abs(corrected - true_mean) < abs(plain - true_mean)
