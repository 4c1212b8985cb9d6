"""Request of a gateway to another for records of the platform's log."""

from attrs import frozen


@frozen
class LogAsk:
    """Requests the records of ``stream`` from ``offset`` on.

    While there are none, the response may be delayed by up to ``wait_s``. The offset is
    one of the log's ``era``; 0 if the log does not state it.
    """

    stream: str
    offset: int
    wait_s: float
    era: int = 0
