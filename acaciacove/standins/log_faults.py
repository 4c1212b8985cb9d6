"""Faults of the log stand-in."""

from attrs import define


@define
class LogFaults:
    """Outage, delay, lost replies and limits of the log.

    ``lose_replies`` is the number of coming appends that take effect and whose reply
    is lost (-1: all). ``keep_records`` is the number of records that a stream retains
    (0: all). Above a rate of ``appends_per_s`` appends get 429 (0: no limit).
    """

    outage: bool = False
    delay_s: float = 0.0
    lose_replies: int = 0
    keep_records: int = 0
    appends_per_s: float = 0.0
