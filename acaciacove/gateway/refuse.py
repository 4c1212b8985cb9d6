"""Answers of the gateway's own: why a request is not served."""

import orjson

from acaciacove.gateway.http.front_connection import FrontConnection
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal

STATUS_BY_REASON = {
    Reason.BAD_TOKEN: 401,
    Reason.UNKNOWN_API: 404,
    Reason.NOT_READY: 503,
    Reason.STALE_REVISION: 503,
    Reason.NO_ENDPOINT: 503,
    Reason.OVERLOADED: 503,
    Reason.BUDGET_EXHAUSTED: 503,
    Reason.REQUEST_QUARANTINED: 503,
    Reason.DEADLINE_EXCEEDED: 504,
    Reason.ENDPOINT_FAILED: 502,
    Reason.OUTCOME_UNKNOWN: 502,
}
# Statuses that promise that the request has not run and will not.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
DEFAULT_RETRY_AFTER_S = 0.5


async def refuse(front: FrontConnection, refusal: Refusal) -> int:
    """Send a refusal as a complete answer; returns its status."""
    status = STATUS_BY_REASON[refusal.reason]
    if status in NOT_RUN_STATUSES and not refusal.not_run:
        # A status that promises "not run" for a request that may have run would
        # let its caller repeat a payment.
        status = 502
    document = {
        "type": f"urn:acaciacove:problem:{refusal.reason.value}",
        "reason": refusal.reason.value,
        "detail": refusal.detail,
        "not_run": refusal.not_run,
    }
    body = orjson.dumps(document)
    headers = [
        (b"Content-Type", b"application/problem+json"),
        (b"Content-Length", str(len(body)).encode()),
    ]
    if status in NOT_RUN_STATUSES:
        after_s = refusal.retry_after_s or DEFAULT_RETRY_AFTER_S
        headers.append((b"Retry-After", f"{after_s:.2f}".encode()))
    front.start_response(status, b"", headers)
    await front.write(body)
    front.finish_response()
    return status
