"""Processor time per request and per streamed token, of real processes."""

from attrs import frozen

from acaciacove.bench.bench_fleet import bench_fleet
from acaciacove.bench.overhead import measure_rate
from acaciacove.bench.overhead_report import RateReport

SHORT_TOKENS = 8
LONG_TOKENS = 200
SECONDS = 5.0
SIDECARS = 2
MICROSECONDS = 1_000_000


@frozen
class RelayCost:
    """Cost of the data path: a fixed part a request and a part a token.

    The parts are the slope and the intercept between short and long answers.
    """

    entry_request_us: float
    entry_token_us: float
    sidecar_request_us: float
    sidecar_token_us: float
    entry_idle_bytes: int
    entry_loaded_bytes: int
    sidecar_idle_bytes: int
    sidecar_loaded_bytes: int
    failures: int


async def measure_relay() -> RelayCost:
    """Stream short and long answers through one entry and two sidecars."""
    async with bench_fleet(SIDECARS) as fleet:
        short = await measure_rate(fleet, SECONDS, SHORT_TOKENS, stream=True)
        long = await measure_rate(fleet, SECONDS, LONG_TOKENS, stream=True)
    entry_us, entry_token_us = _line(_entry_us(short), _entry_us(long))
    sidecar_us, sidecar_token_us = _line(
        short.sidecar_cpu_ms_per_request * 1000, long.sidecar_cpu_ms_per_request * 1000
    )
    return RelayCost(
        entry_request_us=entry_us,
        entry_token_us=entry_token_us,
        sidecar_request_us=sidecar_us,
        sidecar_token_us=sidecar_token_us,
        entry_idle_bytes=short.entry_idle_bytes,
        entry_loaded_bytes=long.entry_loaded_bytes,
        sidecar_idle_bytes=short.sidecar_idle_bytes,
        sidecar_loaded_bytes=long.sidecar_loaded_bytes,
        failures=sum(short.failures.values()) + sum(long.failures.values()),
    )


def _entry_us(report: RateReport) -> float:
    return MICROSECONDS / report.entry_requests_per_cpu_s


def _line(short_us: float, long_us: float) -> tuple[float, float]:
    """Return intercept and slope of the line through both measurements."""
    slope = (long_us - short_us) / (LONG_TOKENS - SHORT_TOKENS)
    return round(short_us - SHORT_TOKENS * slope, 1), round(slope, 2)
