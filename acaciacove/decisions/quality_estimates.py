"""Quality per version and request class, learned from ratings."""

from math import sqrt

from attrs import define, field

from acaciacove.decisions.estimate import Estimate
from acaciacove.decisions.rated_class import SIGNAL_BINS, parse_rated_class
from acaciacove.decisions.shared_cell import CellName, SharedCell
from acaciacove.decisions.shared_counts import DEFAULT_EXPORT_LIMIT, SharedCounts
from acaciacove.decisions.tally import Tally
from acaciacove.fleet.version_id import VersionId

PRIOR_RATINGS = 4.0
PRIOR_DEVIATION = 0.3
# A one-sided confidence of 90 in 100, per plan and class.
CONFIDENCE_DEVIATIONS = 1.28
EPOCH_RATINGS = 20_000
RETAINED_EPOCHS = 3
_RATED = "rated"
_SEEN = "seen"
_FIRST_ANSWER = ""


@define
class QualityEstimates:
    """What ratings have taught, own and from peers.

    Ratings are counted per signal bin and weighed by how often that bin is *seen*
    on all answers. A service that rates some kinds of answer more often than others
    would otherwise shift the mean; so would a sample that the router itself biased.
    Old epochs (blocks of rating sequence numbers) are forgotten, so an estimate
    follows a version that changes.
    """

    origin: str
    generation: int = 0
    epoch: int = 0
    _counts: SharedCounts = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Count under the own name."""
        self._counts = SharedCounts(self.origin)

    def record_rating(
        self, version: VersionId, request_class: str, score: float, sequence: int = 0
    ) -> None:
        """Count one rating (0 to 1) of a plain or rated class, at any age."""
        rated = parse_rated_class(request_class)
        epoch = sequence // EPOCH_RATINGS
        if epoch <= self.epoch - RETAINED_EPOCHS:
            return
        self._advance_epoch(epoch)
        name = _cell_name(
            _RATED, epoch, version, rated.request_class, rated.after, rated.signal_bin
        )
        self._counts.add(name, min(1.0, max(0.0, score)))
        self.generation += 1

    def record_answer(
        self, version: VersionId, request_class: str, signal_bin: int
    ) -> None:
        """Count a first answer by its signal, rated or not."""
        self._counts.add(
            _cell_name(
                _SEEN, self.epoch, version, request_class, _FIRST_ANSWER, signal_bin
            )
        )

    def bins(
        self, version: VersionId, request_class: str, after: str = _FIRST_ANSWER
    ) -> tuple[tuple[float, Tally], ...]:
        """Return for each signal bin how many answers were seen, and the ratings.

        With ``after``, the bins are those of that first version's signal.
        """
        return tuple(
            (
                self._total(_SEEN, version, request_class, after, bin_).count,
                self._total(_RATED, version, request_class, after, bin_),
            )
            for bin_ in range(SIGNAL_BINS)
        )

    def rated_count(self, version: VersionId, request_class: str) -> float:
        """Count the ratings of a version's first answers."""
        return sum(tally.count for _, tally in self.bins(version, request_class))

    def estimate(
        self,
        version: VersionId,
        request_class: str,
        prior: float,
        after: str = _FIRST_ANSWER,
    ) -> Estimate:
        """Estimate the mean rating; ``prior`` is the release note's word for it."""
        bins = self.bins(version, request_class, after)
        return estimate_from_bins(bins, prior)

    def export_delta(self, limit: int = DEFAULT_EXPORT_LIMIT) -> tuple[SharedCell, ...]:
        """Take up to ``limit`` counters to send to a peer."""
        return self._counts.export_delta(limit)

    def merge(self, cells: tuple[SharedCell, ...]) -> None:
        """Take in a peer's counters; doubled or late ones change nothing."""
        for cell in cells:
            self._advance_epoch(int(cell.name[1]))
        self._counts.merge(cells)
        self.generation += 1

    def _total(
        self, kind: str, version: VersionId, request_class: str, after: str, bin_: int
    ) -> Tally:
        total = Tally()
        for epoch in range(max(0, self.epoch - RETAINED_EPOCHS + 1), self.epoch + 1):
            part = self._counts.tally(
                _cell_name(kind, epoch, version, request_class, after, bin_)
            )
            total = total.plus(part.count, part.total, part.squares)
        return total

    def _advance_epoch(self, epoch: int) -> None:
        if epoch <= self.epoch:
            return
        self.epoch = epoch
        oldest = epoch - RETAINED_EPOCHS + 1
        past = {name for name in self._counts.names() if int(name[1]) < oldest}
        self._counts.remove(past)


def estimate_from_bins(bins: tuple[tuple[float, Tally], ...], prior: float) -> Estimate:
    """Weigh the bins' mean ratings by how often each bin is seen.

    Each bin's mean is drawn towards the mean of all, and that towards the prior.
    """
    seen = sum(count for count, _ in bins)
    rated = sum(tally.count for _, tally in bins)
    weights = [
        (count / seen if seen else (tally.count / rated if rated else 1 / len(bins)))
        for count, tally in bins
    ]
    overall = _shrunk_mean(sum(t.total for _, t in bins), rated, prior)
    means = [_shrunk_mean(tally.total, tally.count, overall) for _, tally in bins]
    mean = sum(w * m for w, m in zip(weights, means, strict=True))
    variance = sum(
        w * w * deviation_of(tally) ** 2 / (tally.count + PRIOR_RATINGS)
        for w, (_, tally) in zip(weights, bins, strict=True)
    )
    margin = CONFIDENCE_DEVIATIONS * sqrt(variance)
    return Estimate(mean, max(0.0, mean - margin), min(1.0, mean + margin), rated)


def deviation_of(tally: Tally) -> float:
    """Return the deviation of one rating, drawn towards a broad prior."""
    squares = tally.squares - tally.count * tally.mean**2
    drawn = squares + PRIOR_RATINGS * PRIOR_DEVIATION**2
    return sqrt(max(0.0, drawn) / (tally.count + PRIOR_RATINGS))


def _shrunk_mean(total: float, count: float, towards: float) -> float:
    return (total + PRIOR_RATINGS * towards) / (count + PRIOR_RATINGS)


def _cell_name(
    kind: str, epoch: int, version: VersionId, request_class: str, after: str, bin_: int
) -> CellName:
    return (kind, str(epoch), str(version), request_class, after, str(bin_))
