"""What became of one call of a load run."""

from attrs import frozen

from acaciacove.bench.call_failure import CallFailure


@frozen
class CallOutcome:
    """Times of one call; ``reason`` is the system's own code for a refusal.

    ``gaps_s`` are the times between tokens of a stream.
    """

    kind: str
    whole_s: float
    first_token_s: float | None = None
    gaps_s: tuple[float, ...] = ()
    tokens: int = 0
    failure: CallFailure | None = None
    reason: str = ""
    not_run: bool = False
