"""JSON calls to platform services."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import orjson

from acaciacove.adapters.http_connection import Sending
from acaciacove.adapters.http_exchange import EXCHANGE_ERRORS, exchange, read_body
from acaciacove.adapters.json_answer import JsonAnswer
from acaciacove.errors import PlatformRefusedError, PlatformUnavailableError

CALL_TIMEOUT_S = 5.0
MAX_ANSWER_BYTES = 64_000_000
HTTP_TOO_MANY_REQUESTS = 429
MIN_SERVER_ERROR = 500


async def call_json(
    client: Any,
    method: str,
    url: str,
    body: bytes = b"",
    params: dict[str, Any] | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> JsonAnswer:
    """Call a service and read its JSON answer.

    Raises PlatformRefusedError when the call is known to have had no effect, and
    PlatformUnavailableError when its effect is unknown.
    """
    sending = Sending()
    try:
        async with (
            asyncio.timeout(timeout_s),
            exchange(
                client, sending, method, url, data=body or None, params=params
            ) as response,
        ):
            status = response.status_code
            data = await read_body(response, MAX_ANSWER_BYTES)
            document = orjson.loads(data) if data else {}
    except EXCHANGE_ERRORS as error:
        raise _unavailable_error(sending, f"{method} {url}: {error!r}") from error
    if status == HTTP_TOO_MANY_REQUESTS:
        raise PlatformRefusedError(
            f"{method} {url}: rate limit exceeded (status {status})"
        )
    if status >= MIN_SERVER_ERROR:
        raise PlatformUnavailableError(
            f"{method} {url}: service answered with status {status}"
        )
    return JsonAnswer(status, document)


@contextmanager
def expect_document(url: str) -> Iterator[None]:
    """Turn errors of decoding an answer's document into PlatformUnavailableError."""
    try:
        yield
    except (KeyError, TypeError, ValueError) as error:
        raise PlatformUnavailableError(
            f"{url}: expected another document, got one that is malformed:"
            f" {type(error).__name__}: {error}"
        ) from error


def _unavailable_error(sending: Sending, detail: str) -> PlatformUnavailableError:
    if sending.has_started:
        return PlatformUnavailableError(detail)
    return PlatformRefusedError(detail)
