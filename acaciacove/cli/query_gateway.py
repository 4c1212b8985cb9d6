"""Queries the status of one gateway over HTTP."""

from typing import Any

from cattrs import Converter
from cattrs.errors import BaseValidationError

from acaciacove.adapters.http_json import call_json
from acaciacove.cli.gateway_answer import GatewayAnswer
from acaciacove.cli.status_query import BAD_ANSWER, NO_ANSWER, status_url
from acaciacove.errors import PlatformUnavailableError
from acaciacove.gateway.gateway_status import GatewayStatus

HTTP_OK = 200
CONVERTER = Converter()


async def query_gateway(client: Any, address: str, timeout_s: float) -> GatewayAnswer:
    """Return an answer; if no valid status comes in time, its ``fault`` says why."""
    host, _, port = address.rpartition(":")
    url = status_url(host, port)
    try:
        answer = await call_json(client, "GET", url, timeout_s=timeout_s)
    except PlatformUnavailableError as error:
        return GatewayAnswer(address, fault=_fault_of(error, timeout_s))
    if answer.status != HTTP_OK:
        return GatewayAnswer(address, fault=f"answered with status {answer.status}")
    try:
        status = CONVERTER.structure(answer.document, GatewayStatus)
    except (BaseValidationError, TypeError, ValueError):
        return GatewayAnswer(address, fault=BAD_ANSWER)
    return GatewayAnswer(address, status)


def _fault_of(error: PlatformUnavailableError, timeout_s: float) -> str:
    cause = error.__cause__
    if isinstance(cause, TimeoutError):
        return f"{NO_ANSWER} within {timeout_s:g} s"
    return NO_ANSWER if isinstance(cause, OSError) else BAD_ANSWER
