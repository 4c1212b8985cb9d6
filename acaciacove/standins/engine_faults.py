"""Faults of the model-engine stand-in."""

from attrs import define


@define
class EngineFaults:
    """How many of the next answers fail in each way (-1: all).

    ``crossed`` sends the id of another request. ``truncated`` ends after
    ``after_tokens`` without a finish reason. ``dropped`` closes the connection,
    ``stalled`` pauses for ``stall_s`` and ``garbage`` sends text that is not JSON.
    These three occur after ``after_tokens`` of a stream, or when an unstreamed
    answer is due. ``late`` starts ``late_s`` later. ``fail`` answers 500.
    """

    crossed: int = 0
    truncated: int = 0
    dropped: int = 0
    stalled: int = 0
    garbage: int = 0
    late: int = 0
    fail: int = 0
    after_tokens: int = 3
    stall_s: float = 3600.0
    late_s: float = 1.0
