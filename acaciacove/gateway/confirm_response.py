"""Confirms that a response which only its connection delimits is complete."""

from acaciacove.gateway.endpoint_state import EndpointState
from acaciacove.gateway.http.errors import ConnectFailedError, ConnectionLostError

# Connections within a region are made in a few milliseconds.
CONFIRM_TIMEOUT_S = 0.4


async def confirm_response(state: EndpointState) -> None:
    """Check that the endpoint still runs after it has closed the connection.

    When a process ends, its kernel closes its connections in the same way as the
    process does after a complete response. Raises ConnectionLostError if the endpoint
    accepts no connection, as its response may have been cut off.
    """
    instance = state.endpoint.instance
    if state.crashed:
        raise ConnectionLostError(
            f"{instance} has crashed, its close-delimited response may be incomplete"
        )
    try:
        await state.pool.check_connect(CONFIRM_TIMEOUT_S)
    except ConnectFailedError as error:
        raise ConnectionLostError(
            f"{instance} accepts no connection after the end of its close-delimited"
            f" response, which may be incomplete: {error}"
        ) from error
