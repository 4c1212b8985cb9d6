"""A gateway's question to another for records of the platform's log."""

from attrs import frozen


@frozen
class LogAsk:
    """Asks for the records of ``stream`` from ``offset`` on.

    The answer may be held for up to ``wait_s`` while there is none.
    """

    stream: str
    offset: int
    wait_s: float
