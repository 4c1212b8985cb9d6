"""Faults of the log stand-in."""

from attrs import define


@define
class LogFaults:
    """What goes wrong with the log.

    ``lose_replies`` counts appends that take effect and whose reply is lost (-1 for
    all); ``keep_records`` is how many records a stream keeps (0 keeps all), and
    ``appends_per_s`` the rate above which appends get 429 (0 has no limit).
    """

    outage: bool = False
    delay_s: float = 0.0
    lose_replies: int = 0
    keep_records: int = 0
    appends_per_s: float = 0.0
