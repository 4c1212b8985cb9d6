"""A request of the bench, and what became of it."""

from attrs import define


@define
class FakeRequest:
    """Work is counted in tokens; a prompt that is not cached costs extra.

    ``first_token_at_s`` and ``ended_at_s`` are set when they happen.
    """

    name: str
    arrived_at_s: float
    organisation: str
    tokens: float
    prompt_tokens: float = 0.0
    deadline_s: float = 60.0
    batch: bool = False
    session: str = ""
    prefix: str = ""
    attempts: int = 0
    endpoint: str = ""
    started_at_s: float = 0.0
    first_token_at_s: float = 0.0
    ended_at_s: float = 0.0
    ok: bool = False
    refused: bool = False

    @property
    def latency_s(self) -> float:
        """Seconds from arrival to the whole answer."""
        return self.ended_at_s - self.arrived_at_s

    @property
    def wait_s(self) -> float:
        """Seconds from arrival to the first token."""
        return self.first_token_at_s - self.arrived_at_s
