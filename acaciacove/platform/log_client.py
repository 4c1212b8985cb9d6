"""HTTP client of the platform's log, over one keep-alive connection per stream."""

import asyncio
from base64 import b64decode
from collections.abc import Collection
from struct import Struct
from typing import Any
from urllib.parse import urlencode

import h11
import orjson
from attrs import evolve, frozen

from acaciacove.errors import OffsetExpiredError, PlatformUnavailableError
from acaciacove.gateway.http.connection_pool import ConnectionPool
from acaciacove.gateway.http.endpoint_connection import EndpointConnection
from acaciacove.gateway.http.errors import (
    ConnectFailedError,
    ConnectionLostError,
    InvalidResponseError,
)
from acaciacove.gateway.log_page import LogPage
from acaciacove.gateway.log_position import UNSTATED, LogPosition
from acaciacove.gateway.log_record import LogRecord
from acaciacove.gateway.log_stream import LogStream
from acaciacove.gateway.metadata_log import AppendConflictError
from acaciacove.platform.call_progress import CallProgress
from acaciacove.platform.names import ERA_FIELD, STREAMS

PARTITION = 0
OK = 200
GONE = 410
PRECONDITION_FAILED = 412
_LENGTH = Struct(">I")
_OFFSET = Struct(">Q")
MS = 1000.0
# A call that has received nothing for this long fails and its connection is closed,
# because a connection can stop delivering data for good without a reset. Responses take
# 4 ms, or some 400 ms from a slowed log.
CALL_TIMEOUT_S = 1.0
# A response whose bytes keep arriving may take this long in all. Under a shorter limit
# a large one would be thrown away over a slow link, again and again.
MAX_TRANSFER_S = 4.0
# A call to read that is silent for this long beyond its wait is repeated on another
# connection. While the log cannot be reached, sent bytes are lost, and TCP sends them
# again up to a second after its return: a new connection shows the return at once.
REPEAT_AFTER_S = 0.5
# The same while the log has not answered since the last silent call, and between
# further repetitions.
REPEAT_EVERY_S = 0.3
# Fits the longest record, 256 kB. What does not fit is superseded in part, and read
# faster as the newest record of each key.
MAX_READ_KB = 288
CONNECT_TIMEOUT_S = 0.8
# A page of newest records holds 1 MB of them, which base64 makes a third larger.
MAX_RESPONSE_BYTES = 4 * 2**20
MAX_ERA_DIGITS = 18
# Of an unreadable field in an error message.
MAX_QUOTED_BYTES = 40


@frozen
class LogResponse:
    """Status, body and era of a response of the log.

    It answers a call that was made ``asked_after_s`` after the first one, and that
    repeats it if ``is_repeated``.
    """

    status: int
    body: bytes
    era: int
    asked_after_s: float = 0.0
    is_repeated: bool = False


class LogClient:
    """Implements ``MetadataLog`` on the platform's HTTP API."""

    def __init__(self, host: str, port: int, caller: str) -> None:
        """Start without connections; ``caller`` is sent as User-Agent."""
        self._host = host
        self._caller = caller
        self._pool = ConnectionPool(host, port)
        self._is_silent = False
        self.calls = 0

    async def newest(self, stream: LogStream) -> LogPage:
        """Return the newest record of each key.

        The pages together are not a snapshot. ``next_offset`` is that of the first
        page, so that changes made while the other pages were read are read again, in
        order. Raises PlatformUnavailableError if the log returned from a copy in
        between: pages of two histories do not belong together.
        """
        records: list[LogRecord] = []
        first: LogResponse | None = None
        next_offset = 0
        after: str | None = None
        while True:
            query = {"topic": STREAMS[stream], "part": PARTITION}
            if after is not None:
                query["after"] = after
            response = await self._get("log-newest", query)
            document = _document(_expect_ok(response))
            if first is None:
                first = response
                next_offset = _offset(document, "endOffset")
            elif first.era != response.era:
                raise PlatformUnavailableError(
                    f"the log's era rose from {first.era} to {response.era} between"
                    f" two pages of stream {stream.value}"
                )
            page = _newest_records(document)
            records += page
            if not document.get("hasMore") or not page:
                return _with_source(LogPage(tuple(records), next_offset), first)
            after = page[-1].key

    async def read(self, stream: LogStream, offset: int, wait_s: float) -> LogPage:
        """Return records from an offset on, waiting up to ``wait_s`` for one."""
        query = {
            "topic": STREAMS[stream],
            "part": PARTITION,
            "source": offset,
            "waitMs": int(wait_s * MS),
            "maxReadKb": MAX_READ_KB,
        }
        response = await self._get("log-read", query, wait_s)
        if response.status == GONE:
            raise OffsetExpiredError(_first_offset(response))
        page = _decode_page(_expect_ok(response).body, offset)
        return _with_source(page, response)

    async def append(
        self, stream: LogStream, key: str, value: bytes, at: int | None
    ) -> LogPosition:
        """Append one record and return the position after it.

        With ``at``, raises AppendConflictError if the stream does not end there.
        """
        query = {"topic": STREAMS[stream], "part": PARTITION}
        if at is not None:
            query["at"] = at
        name = key.encode()
        content = bytes([len(name)]) + name + value
        body = _LENGTH.pack(len(content)) + content
        progress = CallProgress()
        response = await self._call("POST", "log-append", query, progress, body)
        if response.status == PRECONDITION_FAILED:
            raise AppendConflictError(_offset(_document(response), "endOffset"))
        end_offset = _offset(_document(_expect_ok(response)), "endOffset")
        return LogPosition(response.era, end_offset)

    async def _get(
        self, name: str, query: dict[str, Any], wait_s: float = 0.0
    ) -> LogResponse:
        """Make a call that reads; repeat it on other connections while it is silent.

        The log may hold the first call for ``wait_s``. The first call that ends decides
        the result: an answer of any kind shows that the log can be reached.
        """
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        calls: dict[asyncio.Task[LogResponse], float] = {}
        progress: list[CallProgress] = []
        pause_s = wait_s + (REPEAT_EVERY_S if self._is_silent else REPEAT_AFTER_S)
        try:
            while True:
                progress.append(CallProgress())
                call = self._call("GET", name, query, progress[-1], wait_s=wait_s)
                calls[asyncio.create_task(call)] = loop.time() - began_s
                done = await _first_ended(calls, progress, pause_s)
                if done is not None:
                    break
                pause_s = REPEAT_EVERY_S
                if wait_s:
                    query, wait_s = query | {"waitMs": 0}, 0.0
        finally:
            for task in calls:
                task.cancel()
            await asyncio.gather(*calls, return_exceptions=True)
        self._is_silent = not any(each.has_answer for each in progress)
        is_repeated = done is not next(iter(calls))
        return evolve(done.result(), asked_after_s=calls[done], is_repeated=is_repeated)

    async def _call(
        self,
        method: str,
        name: str,
        query: dict[str, Any],
        progress: CallProgress,
        body: bytes = b"",
        wait_s: float = 0.0,
    ) -> LogResponse:
        self.calls += 1
        target = f"/-/{name}?{urlencode(query)}".encode()
        headers = [
            (b"Host", self._host.encode()),
            (b"User-Agent", self._caller.encode()),
        ]
        if method == "POST":
            headers.append((b"Content-Length", str(len(body)).encode()))
        request = h11.Request(method=method, target=target, headers=headers)
        connection: EndpointConnection | None = None
        complete = False
        try:
            async with asyncio.timeout(wait_s + CALL_TIMEOUT_S) as limit:
                connection = await self._pool.acquire(False, CONNECT_TIMEOUT_S)
                connection.send_request(request, body)
                response = await _read_response(connection, progress, limit)
            complete = True
            return response
        except (ConnectFailedError, ConnectionLostError, InvalidResponseError) as error:
            raise PlatformUnavailableError(
                f"call {name} to the log failed after {progress.size_bytes}"
                f" bytes of its response: {error}"
            ) from error
        except TimeoutError as error:
            raise PlatformUnavailableError(
                f"call {name} to the log got no complete response: silence for"
                f" {CALL_TIMEOUT_S} s beyond a wait of {wait_s} s, or"
                f" {MAX_TRANSFER_S} s in all, after {progress.size_bytes} bytes"
            ) from error
        finally:
            if connection is not None:
                self._pool.release(connection, complete)

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()


async def _first_ended(
    calls: Collection[asyncio.Task[LogResponse]],
    progress: list[CallProgress],
    pause_s: float,
) -> asyncio.Task[LogResponse] | None:
    """Return the first call that ends, an answered one if there are several.

    Returns None if all calls are silent for ``pause_s``.
    """
    while True:
        done, _ = await asyncio.wait(
            calls, timeout=pause_s, return_when=asyncio.FIRST_COMPLETED
        )
        if done:
            return min(done, key=lambda task: task.exception() is not None)
        if not any(each.has_answer for each in progress):
            return None


def _with_source(page: LogPage, response: LogResponse) -> LogPage:
    """Return a page with the era and the call of the response that it came from."""
    return evolve(
        page,
        era=response.era,
        asked_after_s=response.asked_after_s,
        is_repeated=response.is_repeated,
    )


async def _read_response(
    connection: EndpointConnection, progress: CallProgress, limit: asyncio.Timeout
) -> LogResponse:
    """Read a response; each chunk of its body extends the limit."""
    loop = asyncio.get_running_loop()
    status = 0
    era = UNSTATED
    transfer_ends_s = 0.0
    while True:
        event = await connection.next_response_event()
        if isinstance(event, h11.Response):
            progress.has_answer = True
            status = event.status_code
            era = _era(event)
            transfer_ends_s = loop.time() + MAX_TRANSFER_S
        elif isinstance(event, h11.Data):
            progress.append(bytes(event.data))
            if progress.size_bytes > MAX_RESPONSE_BYTES:
                raise InvalidResponseError(
                    f"the log's response exceeds {MAX_RESPONSE_BYTES} bytes"
                )
            limit.reschedule(min(transfer_ends_s, loop.time() + CALL_TIMEOUT_S))
        elif isinstance(event, h11.EndOfMessage):
            return LogResponse(status, b"".join(progress.chunks), era)


def _era(response: h11.Response) -> int:
    """Return the era that a response states; raises PlatformUnavailableError.

    An unreadable one cannot be ignored: offsets would be compared across histories.
    """
    for name, value in response.headers:
        if name == ERA_FIELD:
            if not value.isdigit() or len(value) > MAX_ERA_DIGITS:
                raise PlatformUnavailableError(
                    f"expected a whole number as {ERA_FIELD.decode()} from the log,"
                    f" got {value[:MAX_QUOTED_BYTES]!r}"
                )
            return int(value)
    return UNSTATED


def _expect_ok(response: LogResponse) -> LogResponse:
    if response.status != OK:
        raise PlatformUnavailableError(
            f"expected status {OK} from the log, got {response.status}"
        )
    return response


def _document(response: LogResponse) -> dict[str, Any]:
    try:
        document = orjson.loads(response.body)
    except ValueError as error:
        raise PlatformUnavailableError(
            f"the log's response is not valid JSON: {error}"
        ) from error
    if not isinstance(document, dict):
        raise PlatformUnavailableError(
            f"expected a JSON object from the log, got {type(document).__name__}"
        )
    return document


def _offset(document: dict[str, Any], field: str) -> int:
    """Return an offset; raises PlatformUnavailableError if there is none."""
    value = document.get(field)
    try:
        return int(str(value))
    except ValueError as error:
        raise PlatformUnavailableError(
            f"expected an offset as {field} from the log, got {type(value).__name__}"
        ) from error


def _first_offset(response: LogResponse) -> int:
    """Return where the log begins; 0 if it does not say, as after a restoration."""
    document = _document(response)
    return _offset(document, "firstOffset") if "firstOffset" in document else 0


def _newest_records(document: dict[str, Any]) -> list[LogRecord]:
    """Return the records of a page; raises PlatformUnavailableError if malformed."""
    try:
        return [_newest_record(item) for item in document.get("items") or ()]
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise PlatformUnavailableError(
            "expected records with key, value and offset from the log, got a"
            f" malformed one: {type(error).__name__}"
        ) from error


def _newest_record(item: dict[str, Any]) -> LogRecord:
    value = item.get("value")
    return LogRecord(
        key=str(item["key"]),
        value=b64decode(str(value)) if value is not None else None,
        offset=_offset(item, "offset"),
    )


def _decode_page(body: bytes, offset: int) -> LogPage:
    """Decode a raw response: end and first offset, then length-prefixed records.

    A record that is cut off at the end of the body is ignored, as ``is_partial`` then
    shows that it is missing. Raises PlatformUnavailableError if the head is cut off,
    which says up to where the log goes: the page would confirm an old view.
    """
    records: list[LogRecord] = []
    at = 2 * _OFFSET.size
    if len(body) < at:
        raise PlatformUnavailableError(
            f"expected a page of at least {at} bytes from the log, got {len(body)}"
        )
    (end_offset,) = _OFFSET.unpack_from(body, 0)
    while at + _LENGTH.size <= len(body):
        (length,) = _LENGTH.unpack_from(body, at)
        at += _LENGTH.size
        content = body[at : at + length]
        if len(content) < length:
            break
        at += length
        key_length = content[0] if content else 0
        key = content[1 : 1 + key_length].decode("utf-8", "replace")
        value = content[1 + key_length :]
        records.append(LogRecord(key, value or None, offset))
        offset += 1
    return LogPage(tuple(records), offset, is_partial=offset < end_offset)
