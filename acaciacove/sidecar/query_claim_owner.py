"""Queries the owner of a claim over a dedicated connection."""

import asyncio

from acaciacove.daemon.shared_state import SharedState
from acaciacove.messages.claim_answer import ClaimAnswer
from acaciacove.messages.claim_query import ClaimQuery
from acaciacove.wire.connection import connect

QUERY_TIMEOUT_S = 1.0


async def query_claim_owner(
    shared: SharedState, name: str, query: ClaimQuery
) -> ClaimAnswer | None:
    """Query the owner for the outcome of a claim; None if it is unreachable."""
    owner = shared.membership.find(name)
    if owner is None:
        return None
    try:
        async with asyncio.timeout(QUERY_TIMEOUT_S):
            connection = await connect(owner.host, owner.port)
            try:
                await connection.send_all((shared.hello(), query))
                while (message := await connection.receive()) is not None:
                    if isinstance(message, ClaimAnswer):
                        return message
            finally:
                connection.close()
    except (OSError, TimeoutError):
        return None
    return None
