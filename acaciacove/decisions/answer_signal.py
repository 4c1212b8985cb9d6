"""How good an answer looks before anyone has rated it."""

from attrs import frozen

FULL = 1.0
CUT_SHORT = 0.05
EMPTY = 0.0
SHORT_ANSWER_TOKENS = 16
_GOOD_ENDINGS = frozenset({"", "stop", "end_turn", "eos"})


@frozen
class AnswerSignal:
    """What is known of a finished answer.

    ``confidence`` is the engine's own (0 to 1; mean token probability) when it
    tells one. ``status`` is HTTP's.
    """

    status: int = 200
    finish_reason: str = ""
    completion_tokens: int = 0
    confidence: float | None = None

    def value(self) -> float:
        """Sum the signal up as one number from 0 (surely short) to 1."""
        if self.status >= 400 or self.completion_tokens == 0:
            return EMPTY
        if self.finish_reason not in _GOOD_ENDINGS:
            return CUT_SHORT
        if self.confidence is not None:
            return min(FULL, max(EMPTY, self.confidence))
        return FULL if self.completion_tokens >= SHORT_ANSWER_TOKENS else FULL / 2
