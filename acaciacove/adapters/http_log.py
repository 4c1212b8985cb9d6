"""The platform's log over HTTP."""

import base64
from typing import Any

from attrs import frozen

from acaciacove.adapters.http_json import (
    CALL_TIMEOUT_S,
    call_json,
    expect_document,
)
from acaciacove.adapters.json_answer import JsonAnswer
from acaciacove.adapters.log_entry import LogEntry
from acaciacove.errors import OffsetExpiredError, PlatformUnavailableError

HTTP_CREATED = 201
HTTP_OK = 200
HTTP_GONE = 410


@frozen
class HttpLog:
    """A PlatformLog at ``url``; ``client`` comes from ``open_client``."""

    url: str
    client: Any
    timeout_s: float = CALL_TIMEOUT_S

    async def append(self, stream: str, payload: bytes) -> int:
        """Append one record and return its offset."""
        url = self._records_url(stream)
        answer = await call_json(
            self.client, "POST", url, payload, timeout_s=self.timeout_s
        )
        document = _require_status(answer, HTTP_CREATED, url)
        with expect_document(url):
            return int(document["offset"])

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_s: float = 0.0
    ) -> list[LogEntry]:
        """Read records from an offset on; waits up to ``wait_s`` for the first."""
        url = self._records_url(stream)
        params = {"from": from_offset, "limit": limit, "wait_s": wait_s}
        answer = await call_json(
            self.client, "GET", url, params=params, timeout_s=self.timeout_s + wait_s
        )
        if answer.status == HTTP_GONE:
            with expect_document(url):
                earliest_offset = int(answer.document["earliest_offset"])
            raise OffsetExpiredError(earliest_offset)
        document = _require_status(answer, HTTP_OK, url)
        with expect_document(url):
            return [
                LogEntry(int(record["offset"]), base64.b64decode(record["payload"]))
                for record in document["records"]
            ]

    def _records_url(self, stream: str) -> str:
        return f"{self.url}/streams/{stream}/records"


def _require_status(answer: JsonAnswer, status: int, url: str) -> dict[str, Any]:
    if answer.status != status:
        raise PlatformUnavailableError(
            f"{url}: expected status {status}, got {answer.status}"
        )
    document: dict[str, Any] = answer.document
    return document
