"""Closes a caller's connection instead of sending a response."""

import asyncio

from starlette.requests import Request
from starlette.responses import Response

from acaciacove.standins.dropping_protocol import TRANSPORT

CONNECTION_LOSS_S = 0.01


async def drop_connection(request: Request) -> Response:
    """Abort the caller's connection; the returned response is never sent."""
    request.scope[TRANSPORT].abort()
    await asyncio.sleep(CONNECTION_LOSS_S)
    return Response(status_code=500)
