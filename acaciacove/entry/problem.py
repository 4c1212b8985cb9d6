"""Encodes refusals as problem documents (RFC 9457)."""

import math
from http import HTTPStatus
from typing import Any

import orjson
from starlette.responses import Response

from acaciacove.reason import Reason
from acaciacove.refusal import Refusal

CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:acaciacove:problem:"

STATUSES: dict[Reason, HTTPStatus] = {
    Reason.NOT_READY: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.DRAINING: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.MALFORMED_REQUEST: HTTPStatus.BAD_REQUEST,
    Reason.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Reason.UNKNOWN_ORGANISATION: HTTPStatus.FORBIDDEN,
    Reason.BAD_TOKEN: HTTPStatus.UNAUTHORIZED,
    Reason.UNKNOWN_API: HTTPStatus.NOT_FOUND,
    Reason.NOT_ALLOWED: HTTPStatus.FORBIDDEN,
    Reason.VERSION_WITHDRAWN: HTTPStatus.GONE,
    Reason.VERSION_QUARANTINED: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.DEADLINE_EXCEEDED: HTTPStatus.GATEWAY_TIMEOUT,
    Reason.KEY_REQUIRED: HTTPStatus.BAD_REQUEST,
    Reason.KEY_EXPIRED: HTTPStatus.GONE,
    Reason.KEY_REUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
    Reason.OUTCOME_UNKNOWN: HTTPStatus.BAD_GATEWAY,
    Reason.IN_PROGRESS: HTTPStatus.CONFLICT,
    Reason.ENDPOINT_FAILED: HTTPStatus.BAD_GATEWAY,
    Reason.ANSWER_MISMATCH: HTTPStatus.BAD_GATEWAY,
    Reason.ANSWER_TRUNCATED: HTTPStatus.BAD_GATEWAY,
    Reason.CONNECTION_LOST: HTTPStatus.BAD_GATEWAY,
    Reason.OVERLOADED: HTTPStatus.TOO_MANY_REQUESTS,
}
DEFAULT_STATUS = HTTPStatus.SERVICE_UNAVAILABLE


def problem_document(refusal: Refusal, request_id: str) -> dict[str, Any]:
    """Return the problem document; with ``not_run`` a retry is safe."""
    document: dict[str, Any] = {
        "type": TYPE_PREFIX + refusal.reason,
        "title": refusal.reason.replace("_", " "),
        "status": STATUSES.get(refusal.reason, DEFAULT_STATUS).value,
        "detail": refusal.detail,
        "instance": request_id,
        "reason": refusal.reason.value,
        "not_run": refusal.not_run,
    }
    if refusal.retry_after_s is not None:
        document["retry_after_s"] = refusal.retry_after_s
    return document


def problem_response(refusal: Refusal, request_id: str) -> Response:
    """Return the HTTP response for a refusal."""
    document = problem_document(refusal, request_id)
    headers = {"X-Request-Id": request_id}
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry_after_s)))
    return Response(
        orjson.dumps(document),
        status_code=document["status"],
        media_type=CONTENT_TYPE,
        headers=headers,
    )
