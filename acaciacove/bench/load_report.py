"""The result of a load run."""

from attrs import field, frozen

from acaciacove.bench.quantiles import Quantiles


@frozen
class LoadReport:
    """Counts and times of one run; times are of whole answers only.

    ``failures`` counts by CallFailure, ``refusals`` by the system's reason code.
    """

    callers: int
    seconds: float
    started: int
    whole: int
    failures: dict[str, int]
    refusals: dict[str, int]
    not_run: int
    requests_per_s: float
    tokens_per_s: float
    chat: Quantiles
    first_token: Quantiles
    between_tokens: Quantiles
    service: Quantiles
    whole_by_kind: dict[str, int] = field(factory=dict)
