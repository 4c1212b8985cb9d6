"""A place that an attempt got at the endpoint."""

from attrs import define

from acaciacove.messages.run import Run


@define(eq=False)
class Ticket:
    """An admitted attempt and what it has used so far; times are the loop's.

    ``asked`` tells whether the endpoint got the call: the answer to a retry may have
    come from an earlier one. ``asked_s`` is what a plain service took, without the
    wait for the log.
    """

    run: Run
    arrived_at_s: float
    admitted_at_s: float
    tokens: int = 0
    prompt_tokens: int = 0
    first_piece_s: float = 0.0
    last_piece_at_s: float = 0.0
    asked: bool = False
    asked_s: float | None = None

    def token_s(self, now_s: float) -> float:
        """Return the mean time per token after the first, or the whole time."""
        if self.asked_s is not None:
            return self.asked_s
        passed_s = now_s - self.admitted_at_s
        if self.tokens < 2:
            return passed_s
        return (passed_s - self.first_piece_s) / (self.tokens - 1)

    def remaining_s(self, now_s: float) -> float:
        """Return the time that is left to answer."""
        return max(0.0, self.arrived_at_s + self.run.deadline_s - now_s)
