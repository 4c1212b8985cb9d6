"""The log line for a limit that an endpoint states."""

from acaciacove.gateway.endpoint_state import EndpointState
from acaciacove.gateway.event_log import EventLog
from acaciacove.gateway.log_events import Event


def log_limit(log: EventLog, state: EndpointState, from_peer: bool) -> None:
    """Log a stated limit or its end; ``from_peer`` if a peer reported it."""
    per_s = state.stated_limit.per_s
    log.write(
        Event.ENDPOINT_LIMITED,
        endpoint=state.endpoint.instance,
        per_s=per_s,
        lifted=True if per_s is None else None,
        told=True if from_peer else None,
    )
