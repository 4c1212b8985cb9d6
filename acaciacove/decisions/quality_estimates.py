"""Quality by version and request class, estimated from ratings."""

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
# One-sided confidence of 90 %, by plan and request class.
CONFIDENCE_DEVIATIONS = 1.28
EPOCH_RATINGS = 20_000
RETAINED_EPOCHS = 3
_RATED = "rated"
_SEEN = "seen"
_FIRST_ANSWER = ""


@define
class QualityEstimates:
    """Counts of local ratings and of those received from peers.

    Ratings are counted by signal bin and weighted by the share of the bin in all
    answers. Otherwise the mean would be biased by a service that rates some kinds of
    answers more often than others, or by the router's own selection. Old epochs
    (blocks of rating sequence numbers) are removed, so an estimate follows a version
    that changes. ``origin`` is the name of the process in the shared counters.
    ``generation`` increases with every rating or merge.
    """

    origin: str
    generation: int = 0
    epoch: int = 0
    _counts: SharedCounts = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the counters of this process."""
        self._counts = SharedCounts(self.origin)

    def record_rating(
        self, version: VersionId, request_class: str, score: float, sequence: int = 0
    ) -> None:
        """Count one rating (0 to 1) of a request class or a rated class.

        Ignores ratings from epochs that are no longer retained.
        """
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
        """Count a first answer by its signal bin, whether it gets a rating or not."""
        self._counts.add(
            _cell_name(
                _SEEN, self.epoch, version, request_class, _FIRST_ANSWER, signal_bin
            )
        )

    def bins(
        self, version: VersionId, request_class: str, after: str = _FIRST_ANSWER
    ) -> tuple[tuple[float, Tally], ...]:
        """Return the number of answers and the tally of ratings of each signal bin.

        With ``after``, the bins are those of the signal of that first version.
        """
        return tuple(
            (
                self._total(_SEEN, version, request_class, after, bin_).count,
                self._total(_RATED, version, request_class, after, bin_),
            )
            for bin_ in range(SIGNAL_BINS)
        )

    def rated_count(self, version: VersionId, request_class: str) -> float:
        """Return the number of ratings of a version's first answers."""
        return sum(tally.count for _, tally in self.bins(version, request_class))

    def estimate(
        self,
        version: VersionId,
        request_class: str,
        prior: float,
        after: str = _FIRST_ANSWER,
    ) -> Estimate:
        """Return the estimated mean rating; ``prior`` is the release note's quality."""
        bins = self.bins(version, request_class, after)
        return estimate_from_bins(bins, prior)

    def export_delta(self, limit: int = DEFAULT_EXPORT_LIMIT) -> tuple[SharedCell, ...]:
        """Return up to ``limit`` changed counters to send to a peer."""
        return self._counts.export_delta(limit)

    def merge(self, cells: tuple[SharedCell, ...]) -> None:
        """Merge a peer's counters; duplicate and outdated ones have no effect."""
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
        outdated = {name for name in self._counts.names() if int(name[1]) < oldest}
        self._counts.remove(outdated)


def estimate_from_bins(bins: tuple[tuple[float, Tally], ...], prior: float) -> Estimate:
    """Return the mean rating of the bins, weighted by their shares of the answers.

    Each bin's mean is shrunk towards the overall mean, and that towards the prior.
    """
    answer_count = sum(count for count, _ in bins)
    rating_count = sum(tally.count for _, tally in bins)
    weights = [
        (
            count / answer_count
            if answer_count
            else (tally.count / rating_count if rating_count else 1 / len(bins))
        )
        for count, tally in bins
    ]
    overall = _shrunk_mean(sum(t.total for _, t in bins), rating_count, prior)
    means = [_shrunk_mean(tally.total, tally.count, overall) for _, tally in bins]
    mean = sum(w * m for w, m in zip(weights, means, strict=True))
    variance = sum(
        w * w * deviation_of(tally) ** 2 / (tally.count + PRIOR_RATINGS)
        for w, (_, tally) in zip(weights, bins, strict=True)
    )
    margin = CONFIDENCE_DEVIATIONS * sqrt(variance)
    return Estimate(
        mean, max(0.0, mean - margin), min(1.0, mean + margin), rating_count
    )


def deviation_of(tally: Tally) -> float:
    """Return the standard deviation of one rating, shrunk towards a broad prior."""
    squares = tally.squares - tally.count * tally.mean**2
    shrunk = squares + PRIOR_RATINGS * PRIOR_DEVIATION**2
    return sqrt(max(0.0, shrunk) / (tally.count + PRIOR_RATINGS))


def _shrunk_mean(total: float, count: float, towards: float) -> float:
    return (total + PRIOR_RATINGS * towards) / (count + PRIOR_RATINGS)


def _cell_name(
    kind: str, epoch: int, version: VersionId, request_class: str, after: str, bin_: int
) -> CellName:
    return (kind, str(epoch), str(version), request_class, after, str(bin_))
