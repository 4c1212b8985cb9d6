"""A plain service over HTTP."""

import asyncio
from typing import Any

from attrs import frozen

from acaciacove.adapters.http_connection import Sending
from acaciacove.adapters.http_exchange import (
    EXCHANGE_ERRORS,
    HOP_BY_HOP,
    end_to_end_headers,
    exchange,
    read_body,
    refusal_from_error,
)
from acaciacove.adapters.service_answer import ServiceAnswer
from acaciacove.adapters.service_call import ServiceCall
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal

REQUEST_ID = "x-request-id"
MAX_ANSWER_BYTES = 8_000_000


@frozen
class HttpService:
    """A PlainService at ``url``.

    ``client`` reuses connections and is for calls that may be repeated.
    ``single_use_client``, opened with ``reuse=False``, is for those that may not.
    """

    url: str
    client: Any
    single_use_client: Any
    max_answer_bytes: int = MAX_ANSWER_BYTES

    async def call(self, call: ServiceCall) -> ServiceAnswer | Refusal:
        """Make one call; a call that may not be repeated is sent at most once."""
        sending = Sending()
        timeout = asyncio.timeout(call.timeout_s)
        try:
            async with timeout:
                answer = await self._exchange(call, sending)
        except EXCHANGE_ERRORS as error:
            # A connection that was closed at the deadline may appear as lost. The
            # caller would then get a wrong reason for an unknown outcome.
            return refusal_from_error(
                TimeoutError() if timeout.expired() else error, sending
            )
        if call.echo_wanted and _echoed_id(answer) != call.request_id:
            return Refusal(
                Reason.ANSWER_MISMATCH,
                not_run=False,
                detail=f"the answer is for request {_echoed_id(answer)!r}",
            )
        return answer

    async def _exchange(self, call: ServiceCall, sending: Sending) -> ServiceAnswer:
        client = self.client if call.may_repeat else self.single_use_client
        async with exchange(
            client,
            sending,
            call.method,
            self.url + call.path,
            headers=_request_headers(call),
            data=call.body or None,
        ) as response:
            body = await read_body(response, self.max_answer_bytes)
            headers = end_to_end_headers(response.raw_headers)
            return ServiceAnswer(response.status_code, headers, body)


def _request_headers(call: ServiceCall) -> list[tuple[str, str]]:
    """Return the caller's end-to-end headers with the request id."""
    forwarded = [
        (header.name, header.value)
        for header in call.headers
        if header.name.lower() not in HOP_BY_HOP and header.name.lower() != REQUEST_ID
    ]
    return [*forwarded, (REQUEST_ID, call.request_id)]


def _echoed_id(answer: ServiceAnswer) -> str | None:
    for header in answer.headers:
        if header.name.lower() == REQUEST_ID:
            return header.value
    return None
