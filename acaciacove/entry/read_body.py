"""Reads a request body within its limits of size and time."""

import asyncio

from starlette.requests import ClientDisconnect, Request

from acaciacove.reason import Reason
from acaciacove.refusal import Refusal


async def read_body(
    request: Request, max_bytes: int, deadline_s: float
) -> bytes | Refusal:
    """Read the complete body; refuse it if it is too large or too slow."""
    chunks: list[bytes] = []
    size_bytes = 0
    try:
        async with asyncio.timeout(deadline_s):
            async for chunk in request.stream():
                size_bytes += len(chunk)
                if size_bytes > max_bytes:
                    detail = f"the body is larger than {max_bytes} bytes"
                    return Refusal(Reason.TOO_LARGE, True, detail)
                chunks.append(chunk)
    except TimeoutError:
        detail = f"the body did not arrive within {deadline_s} s"
        return Refusal(Reason.DEADLINE_EXCEEDED, True, detail)
    except ClientDisconnect:
        return Refusal(
            Reason.CANCELLED,
            True,
            "the caller left before its body came",
        )
    return b"".join(chunks)
