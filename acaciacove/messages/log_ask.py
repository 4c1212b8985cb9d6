"""Request of a gateway to another for records of the platform's log."""

from attrs import frozen


@frozen
class LogAsk:
    """Requests the records of ``stream`` from ``offset`` on.

    While there are none, the response may be delayed by up to ``wait_s``.
    """

    stream: str
    offset: int
    wait_s: float
