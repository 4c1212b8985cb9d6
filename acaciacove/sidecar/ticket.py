"""A place that an attempt got at the endpoint."""

from attrs import define

from acaciacove.messages.run import Run


@define(eq=False)
class Ticket:
    """An admitted attempt and what it has used so far; times are the loop's."""

    run: Run
    arrived_at_s: float
    admitted_at_s: float
    tokens: int = 0
    prompt_tokens: int = 0
    first_piece_s: float = 0.0

    def remaining_s(self, now_s: float) -> float:
        """Return the time that is left to answer."""
        return max(0.0, self.arrived_at_s + self.run.deadline_s - now_s)
