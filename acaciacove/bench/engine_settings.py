"""What a fake engine can do."""

from attrs import frozen


@frozen
class EngineSettings:
    """Speeds and bounds of one engine.

    A token takes ``token_s`` plus ``token_batch_s`` for each running request. What is
    borne grows from cold to warm over ``warm_up_s`` as a power of time. ``thrash`` is
    how much slower it gets per share that it is over its bound.
    """

    token_s: float = 0.030
    token_batch_s: float = 0.0005
    warm_bears: int = 16
    cold_bears: int = 2
    warm_up_s: float = 60.0
    warm_up_power: float = 1.0
    thrash: float = 8.0
    prefill_share: float = 0.02
    cached_prefill_share: float = 0.1
    cached_prefixes: int = 40

    def prefill_tokens(self, prompt_tokens: float) -> float:
        """Return the work of a prompt, in generated tokens."""
        return self.prefill_share * prompt_tokens

    def capacity_tokens_per_s(self) -> float:
        """Return the work that a full, warm engine does in a second."""
        interval_s = self.token_s + self.token_batch_s * self.warm_bears
        return self.warm_bears / interval_s
