"""Counters of one engine stand-in."""

from collections import Counter

from attrs import define, field


@define
class EngineCounters:
    """Counts since the engine stand-in was created."""

    started: int = 0
    finished: int = 0
    cancelled: int = 0
    failed: int = 0
    refused: int = 0
    fell_over: int = 0
    tokens: int = 0
    most_in_flight: int = 0
    most_in_flight_cold: int = 0
    tokens_by_version: Counter[str] = field(factory=Counter)
    started_by_version: Counter[str] = field(factory=Counter)
    started_by_request: Counter[str] = field(factory=Counter)
