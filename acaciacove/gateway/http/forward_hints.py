"""Header values that the gateway sets on a forwarded request."""

from attrs import frozen


@frozen
class ForwardHints:
    """Values of the header fields that the gateway adds or replaces.

    ``instance`` is the endpoint that the request is meant for. ``time_left_s`` is
    the remaining time for the endpoint's work. ``last_event_id`` replaces the
    caller's value if a stream is resumed within one response.
    """

    instance: str
    time_left_s: float
    organisation: str | None
    model: str | None
    priority: int | None
    last_event_id: str | None
