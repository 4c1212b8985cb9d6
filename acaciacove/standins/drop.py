"""Dropping a caller's connection in place of an answer."""

import asyncio

from starlette.requests import Request
from starlette.responses import Response

from acaciacove.standins.dropping_protocol import TRANSPORT

CONNECTION_LOSS_S = 0.01


async def drop_connection(request: Request) -> Response:
    """Close the caller's connection; the response returned is never sent."""
    request.scope[TRANSPORT].abort()
    await asyncio.sleep(CONNECTION_LOSS_S)
    return Response(status_code=500)
