"""Counts of one cell of evidence."""

import math

from attrs import define

MIN_TIME_S = 0.001


@define
class CellCounts:
    """Answers, failures among them, and how soon their first pieces came.

    ``timed`` and ``log_time_sum`` hold times to the first piece. ``judged`` counts
    requests that were compared with what is usual for their kind, ``late`` those of
    them that took much longer, whether or not an answer came in the end.
    """

    answers: int = 0
    failures: int = 0
    timed: int = 0
    log_time_sum: float = 0.0
    judged: int = 0
    late: int = 0

    def add(self, failed: bool, first_chunk_s: float | None) -> None:
        """Count one answer."""
        self.answers += 1
        self.failures += failed
        if first_chunk_s is not None and not failed:
            self.timed += 1
            self.log_time_sum += math.log(max(first_chunk_s, MIN_TIME_S))

    def add_judged(self, is_late: bool) -> None:
        """Count one request that was compared with the usual time."""
        self.judged += 1
        self.late += is_late

    def merge(self, other: "CellCounts") -> None:
        """Add the counts of another gateway."""
        self.answers += other.answers
        self.failures += other.failures
        self.timed += other.timed
        self.log_time_sum += other.log_time_sum
        self.judged += other.judged
        self.late += other.late

    def since(self, earlier: "CellCounts") -> "CellCounts":
        """Return what was counted after ``earlier``; never below nothing.

        Counts of a peer that has restarted begin anew, and would seem to have fallen.
        """
        return CellCounts(
            answers=max(0, self.answers - earlier.answers),
            failures=max(0, self.failures - earlier.failures),
            timed=max(0, self.timed - earlier.timed),
            log_time_sum=self.log_time_sum - earlier.log_time_sum,
            judged=max(0, self.judged - earlier.judged),
            late=max(0, self.late - earlier.late),
        )

    @property
    def typical_s(self) -> float:
        """Geometric mean of the times to the first piece, in seconds."""
        return math.exp(self.log_time_sum / self.timed) if self.timed else 0.0
