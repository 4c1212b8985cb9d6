"""State of the rating-service stand-in."""

from random import Random

from attrs import define, field

from acaciacove.standins.rating_faults import RatingFaults
from acaciacove.standins.submitted_answer import SubmittedAnswer

UNKNOWN_QUALITY = 0.5
SPREAD = 0.1


@define
class RatingState:
    """Ratings so far; ``qualities`` maps a version to its true mean score."""

    random: Random
    faults: RatingFaults = field(factory=RatingFaults)
    qualities: dict[str, float] = field(factory=dict)
    rated: list[tuple[float, float, SubmittedAnswer]] = field(factory=list)
    submitted: int = 0

    def submit(self, answer: SubmittedAnswer, now_s: float) -> None:
        """Rate an answer if it is sampled; its rating is listed after a delay."""
        self.submitted += 1
        if self.random.random() >= self.faults.sampled_share:
            return
        mean = self.qualities.get(answer.version, UNKNOWN_QUALITY) + self.faults.bias
        score = min(1.0, max(0.0, self.random.gauss(mean, SPREAD)))
        self.rated.append((now_s + self.faults.delay_s, score, answer))

    def ratings(self, after: int, limit: int, now_s: float) -> list[dict[str, object]]:
        """List ratings after a sequence number, up to the first that is not yet due."""
        found: list[dict[str, object]] = []
        for sequence, (due_s, score, answer) in enumerate(self.rated, 1):
            if due_s > now_s or len(found) == limit:
                break
            if sequence > after:
                found.append(_document(sequence, score, answer))
        return found


def _document(
    sequence: int, score: float, answer: SubmittedAnswer
) -> dict[str, object]:
    return {
        "sequence": sequence,
        "request_id": answer.request_id,
        "version": answer.version,
        "request_class": answer.request_class,
        "score": score,
    }
