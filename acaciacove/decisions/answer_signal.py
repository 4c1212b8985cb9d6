"""Signal for the quality of an answer that has not been rated."""

from attrs import frozen

FULL = 1.0
CUT_SHORT = 0.05
EMPTY = 0.0
SHORT_ANSWER_TOKENS = 16
_GOOD_ENDINGS = frozenset({"", "stop", "end_turn", "eos"})


@frozen
class AnswerSignal:
    """Observable properties of a complete answer.

    ``confidence`` is the engine's mean token probability (0 to 1), or None if the
    engine reports none. ``status`` is the HTTP status code.
    """

    status: int = 200
    finish_reason: str = ""
    completion_tokens: int = 0
    confidence: float | None = None

    def value(self) -> float:
        """Return the signal as one number from 0 (failed or empty) to 1."""
        if self.status >= 400 or self.completion_tokens == 0:
            return EMPTY
        if self.finish_reason not in _GOOD_ENDINGS:
            return CUT_SHORT
        if self.confidence is not None:
            return min(FULL, max(EMPTY, self.confidence))
        return FULL if self.completion_tokens >= SHORT_ANSWER_TOKENS else FULL / 2
