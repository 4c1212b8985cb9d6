"""HTTP exchanges, and the refusals that their failures become."""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing, asynccontextmanager
from typing import Any

from aiosonic.exceptions import AiosonicError

from acaciacove.adapters.http_connection import Sending, current_sending
from acaciacove.messages.header import Header
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal

# Exceptions of the client for lost connections and malformed answers: its own
# classes, socket errors, end of file within a body, a malformed chunk length.
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
    """An answer that is larger than the limit."""


class TruncatedError(ValueError):
    """An answer that ended before it was complete."""


@asynccontextmanager
async def exchange(
    client: Any, sending: Sending, method: str, url: str, **parts: Any
) -> AsyncIterator[Any]:
    """Send a request and yield its response with the body unread.

    When the block ends, the connection is closed unless the body was read to its
    end.
    """
    response = await open_exchange(client, sending, method, url, **parts)
    try:
        yield response
    finally:
        await response.aclose()


async def open_exchange(
    client: Any, sending: Sending, method: str, url: str, **parts: Any
) -> Any:
    """Send a request and return its response, which the caller must close."""
    current_sending.set(sending)
    response = await client.request(url, method, stream=True, **parts)
    try:
        _check_is_delimited(response, method)
    except TruncatedError:
        await response.aclose()
        raise
    return response


async def read_body(response: Any, max_bytes: int) -> bytes:
    """Read a complete body; raises TooLargeError above ``max_bytes``."""
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
    """Yield the chunks of a body as they arrive; none for an empty body."""
    if not response._has_pending_body():
        return
    async for chunk in response.read_chunks():
        yield chunk


def end_to_end_headers(raw_headers: Any) -> tuple[Header, ...]:
    """Return the end-to-end headers, without the hop-by-hop ones."""
    return tuple(
        Header(name, value)
        for name, value in raw_headers
        if name.lower() not in HOP_BY_HOP
    )


def refusal_from_error(error: BaseException, sending: Sending) -> Refusal:
    """Build the refusal for a failed exchange.

    The request is known not to have run only if no byte of it was sent.
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
    """Reject an answer that has neither a length nor chunked encoding.

    When the connection is lost within the headers, the client takes that for their
    end and returns an empty answer: a caller would read success without a body. An
    answer with neither header therefore counts as truncated.
    """
    if method == "HEAD" or response.status_code in EMPTY_STATUSES:
        return
    if CONTENT_LENGTH in response.headers or TRANSFER_ENCODING in response.headers:
        return
    raise TruncatedError("answer without a length")
