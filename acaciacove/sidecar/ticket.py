"""The record of one admitted attempt."""

from attrs import define

from acaciacove.messages.run import Run


@define(eq=False)
class Ticket:
    """An admitted attempt and its usage so far; times are those of the event loop.

    ``endpoint_called`` is true once this attempt has called the endpoint. It stays
    false for a retry that is answered with the result of an earlier call.
    ``service_call_s`` is the time that a plain service took, without the wait for
    the log.
    """

    run: Run
    arrived_at_s: float
    admitted_at_s: float
    tokens: int = 0
    prompt_tokens: int = 0
    first_chunk_s: float = 0.0
    last_chunk_at_s: float = 0.0
    endpoint_called: bool = False
    service_call_s: float | None = None

    def token_s(self, now_s: float) -> float:
        """Return the mean time per token after the first, or the total time."""
        if self.service_call_s is not None:
            return self.service_call_s
        elapsed_s = now_s - self.admitted_at_s
        if self.tokens < 2:
            return elapsed_s
        return (elapsed_s - self.first_chunk_s) / (self.tokens - 1)

    def remaining_s(self, now_s: float) -> float:
        """Return the time until the deadline, at least 0."""
        return max(0.0, self.arrived_at_s + self.run.deadline_s - now_s)
