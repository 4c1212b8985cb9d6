"""Decoded header fields of a caller's request."""

from attrs import frozen

from acaciacove.gateway.choice.prompt import Prompt


@frozen
class CallerHints:
    """Header fields of a request that the gateway acts upon.

    ``deadline_s`` is relative to the request's arrival; None if not given.
    ``model`` is the model requested by the caller, or None if the gateway chooses.
    ``last_event_id`` is the event after which the caller wants to resume a stream.
    """

    request_id: str | None
    api_key: str | None
    deadline_s: float | None
    model: str | None
    prompt: Prompt | None
    last_event_id: str | None
    session: str | None
