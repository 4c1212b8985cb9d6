"""Reads the body of a caller's request within limits of size, time and memory."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import h11

from acaciacove.gateway.catalogue.caller_limits import CallerLimits
from acaciacove.gateway.http.errors import (
    BadRequestError,
    BodyOverBudgetError,
    ConnectionLostError,
)

REQUEST_TIMEOUT_STATUS = 408
BODY_TOO_LARGE_STATUS = 413
BAD_REQUEST_STATUS = 400
# A body must arrive at this average rate at least. A caller with 0.13 Mbit/s finishes
# the usual limit of 4,194,304 bytes, in 256 s.
MIN_BODY_BYTES_PER_S = 16_384
# Pieces of a chunked body shorter than this cost as much processor time as any other.
# At the usual limit, a body of them alone would take some minutes of it.
MIN_PIECE_BYTES = 4
MAX_SHORT_PIECES = 4_096


async def read_body(
    next_event: Callable[[], Awaitable[Any]],
    reserve: Callable[[int], bool],
    limits: CallerLimits,
) -> bytes:
    """Return the complete body; ``reserve`` returns whether more bytes may be held.

    The time limit is the header timeout plus the time that the bytes received so far
    take at the minimum rate. Silence is limited by the header timeout. Raises
    BadRequestError, BodyOverBudgetError and ConnectionLostError.
    """
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    chunks: list[bytes] = []
    size_bytes = 0
    short_pieces = 0
    while True:
        allowed_s = limits.header_timeout_s + size_bytes / MIN_BODY_BYTES_PER_S
        until_s = min(began_s + allowed_s, loop.time() + limits.header_timeout_s)
        try:
            async with asyncio.timeout_at(until_s):
                event = await next_event()
        except TimeoutError:
            raise BadRequestError(REQUEST_TIMEOUT_STATUS, "body too slow") from None
        if isinstance(event, h11.EndOfMessage):
            return b"".join(chunks)
        if not isinstance(event, h11.Data):
            raise ConnectionLostError(
                f"the caller closed the connection after {size_bytes} bytes of its"
                " request body"
            )
        size_bytes += len(event.data)
        short_pieces += len(event.data) < MIN_PIECE_BYTES
        if short_pieces > MAX_SHORT_PIECES:
            raise BadRequestError(BAD_REQUEST_STATUS, "too many short chunks")
        if size_bytes > limits.max_body_bytes:
            raise BadRequestError(BODY_TOO_LARGE_STATUS, "body too large")
        if not reserve(len(event.data)):
            raise BodyOverBudgetError(
                f"{size_bytes} bytes of a request body exceed the free memory"
            )
        chunks.append(bytes(event.data))
