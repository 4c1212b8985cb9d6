"""Signal for the quality of an answer that has not been rated."""

from attrs import frozen

COMPLETE_SIGNAL = 1.0
TRUNCATED_SIGNAL = 0.05
EMPTY_SIGNAL = 0.0
SHORT_ANSWER_TOKENS = 16
_COMPLETE_FINISH_REASONS = frozenset({"", "stop", "end_turn", "eos"})


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
            return EMPTY_SIGNAL
        if self.finish_reason not in _COMPLETE_FINISH_REASONS:
            return TRUNCATED_SIGNAL
        if self.confidence is not None:
            return min(COMPLETE_SIGNAL, max(EMPTY_SIGNAL, self.confidence))
        return (
            COMPLETE_SIGNAL
            if self.completion_tokens >= SHORT_ANSWER_TOKENS
            else COMPLETE_SIGNAL / 2
        )
