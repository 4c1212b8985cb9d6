"""What an entry and a sidecar add to a call."""

from attrs import frozen

from acaciacove.bench.quantiles import Quantiles


@frozen
class OverheadReport:
    """Direct calls and routed calls, interleaved in one run.

    ``added_*`` is the difference of the quantiles in ms, ``ratio_p50`` their ratio.
    """

    callers: int
    stream: bool
    direct: Quantiles
    routed: Quantiles
    direct_first_token: Quantiles
    routed_first_token: Quantiles
    added_p50_ms: float
    added_p99_ms: float
    ratio_p50: float
    failures: int


@frozen
class RateReport:
    """Requests per second through one entry, and what the processes used."""

    callers: int
    max_tokens: int
    stream: bool
    seconds: float
    requests_per_s: float
    tokens_per_s: float
    entry_cpu_share: float
    entry_requests_per_cpu_s: float
    sidecar_cpu_ms_per_request: float
    entry_idle_bytes: int
    entry_loaded_bytes: int
    sidecar_idle_bytes: int
    sidecar_loaded_bytes: int
    failures: dict[str, int]
