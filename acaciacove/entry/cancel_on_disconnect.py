"""Cancels work whose caller has disconnected."""

import asyncio
from collections.abc import Coroutine

from starlette.requests import Request
from starlette.responses import Response

CLIENT_CLOSED_REQUEST = 499


async def cancel_on_disconnect(
    request: Request, work: Coroutine[None, None, Response]
) -> Response:
    """Return the answer, or cancel the work if the caller disconnects first.

    Otherwise engines would go on generating for callers that have given up. Under
    overload they would work at full load and deliver no answers.
    """
    answer = asyncio.create_task(work)
    disconnect = asyncio.create_task(_wait_for_disconnect(request))
    try:
        await asyncio.wait({answer, disconnect}, return_when=asyncio.FIRST_COMPLETED)
        if answer.done():
            return answer.result()
        return Response(status_code=CLIENT_CLOSED_REQUEST)
    finally:
        disconnect.cancel()
        if not answer.done():
            answer.cancel()
            await asyncio.wait({answer})


async def _wait_for_disconnect(request: Request) -> None:
    """Wait until the caller has closed its connection."""
    while True:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            return
