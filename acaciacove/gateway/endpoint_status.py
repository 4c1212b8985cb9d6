"""State of one endpoint in a gateway's status report."""

from attrs import frozen


@frozen
class EndpointStatus:
    """What one gateway knows of an endpoint.

    ``state`` is a value of ``EndpointCondition``. ``in_flight`` counts requests of this
    gateway. ``running`` and ``waiting`` are from the endpoint's last load report, which
    arrived ``report_age_s`` before; they are None if none has arrived. ``slots`` is
    from its entry in the log. ``pace`` is the machine's reported pace and ``slowness``
    the expected factor on the time that work takes, 1 meaning as usual; None where the
    endpoint has reported no pace. ``wait_s`` is the estimated wait of a request that
    is sent now.
    """

    instance: str
    zone: str
    version: str
    state: str
    in_flight: int
    slots: int
    wait_s: float
    running: int | None = None
    waiting: int | None = None
    report_age_s: float | None = None
    pace: float | None = None
    slowness: float | None = None
