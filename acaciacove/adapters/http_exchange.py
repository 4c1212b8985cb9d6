"""One HTTP exchange, and what its failure says about the request."""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing, asynccontextmanager
from typing import Any

from aiosonic.exceptions import AiosonicError

from acaciacove.adapters.http_connection import Sending, current_sending
from acaciacove.messages.header import Header
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal

# What the client raises for lost connections and malformed answers: its own
# exceptions, the sockets', an end of file within a body, a bad chunk length.
EXCHANGE_ERRORS = (AiosonicError, OSError, EOFError, ValueError)
EMPTY_STATUSES = frozenset({204, 304})
CONTENT_LENGTH = "content-length"
TRANSFER_ENCODING = "transfer-encoding"
HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "host",
        "keep-alive",
        "proxy-connection",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class TooLargeError(ValueError):
    """An answer longer than the limit."""


class TruncatedError(ValueError):
    """An answer that ended too early."""


@asynccontextmanager
async def exchange(
    client: Any, sending: Sending, method: str, url: str, **parts: Any
) -> AsyncIterator[Any]:
    """Send a request and yield its response, body unread.

    The connection is closed on leaving unless the body was read to its end.
    """
    response = await open_exchange(client, sending, method, url, **parts)
    try:
        yield response
    finally:
        await response.aclose()


async def open_exchange(
    client: Any, sending: Sending, method: str, url: str, **parts: Any
) -> Any:
    """Send a request and return its response, which the caller has to close."""
    current_sending.set(sending)
    response = await client.request(url, method, stream=True, **parts)
    try:
        _check_is_delimited(response, method)
    except TruncatedError:
        await response.aclose()
        raise
    return response


async def read_body(response: Any, max_bytes: int) -> bytes:
    """Read a whole body; raises TooLargeError beyond the limit."""
    received: list[bytes] = []
    size = 0
    async with aclosing(body_chunks(response)) as chunks:
        async for chunk in chunks:
            size += len(chunk)
            if size > max_bytes:
                raise TooLargeError(f"answer larger than {max_bytes} bytes")
            received.append(chunk)
    return b"".join(received)


async def body_chunks(response: Any) -> AsyncGenerator[bytes, None]:
    """Yield the pieces of a body as they come in; nothing for an empty one."""
    if not response._has_pending_body():
        return
    async for chunk in response.read_chunks():
        yield chunk


def end_to_end_headers(raw_headers: Any) -> tuple[Header, ...]:
    """Keep the headers that are meant for the far end."""
    return tuple(
        Header(name, value)
        for name, value in raw_headers
        if name.lower() not in HOP_BY_HOP
    )


def refusal_from_error(error: BaseException, sending: Sending) -> Refusal:
    """Say what a failed exchange means for the request.

    Only when no byte has left is the request known not to have run.
    """
    return Refusal(
        reason=_reason_for_error(error),
        not_run=not sending.has_started,
        detail=f"{type(error).__name__}: {error}".removesuffix(": "),
    )


def _reason_for_error(error: BaseException) -> Reason:
    reasons: list[tuple[type[BaseException], Reason]] = [
        (TimeoutError, Reason.DEADLINE_EXCEEDED),
        (TooLargeError, Reason.TOO_LARGE),
        (TruncatedError, Reason.ANSWER_TRUNCATED),
        (asyncio.IncompleteReadError, Reason.ANSWER_TRUNCATED),
    ]
    for cls, reason in reasons:
        if isinstance(error, cls):
            return reason
    return Reason.CONNECTION_LOST


def _check_is_delimited(response: Any, method: str) -> None:
    """Refuse an answer whose end cannot be told.

    The client takes a connection lost amid the headers for their end, and the
    answer for an empty one: a caller would read success without a body. An answer
    that states neither a length nor chunks is therefore taken as truncated.
    """
    if method == "HEAD" or response.status_code in EMPTY_STATUSES:
        return
    if CONTENT_LENGTH in response.headers or TRANSFER_ENCODING in response.headers:
        return
    raise TruncatedError("answer without a length")
