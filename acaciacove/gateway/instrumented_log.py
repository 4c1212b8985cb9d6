"""Counts calls to the platform's log, which are rate limited and billed."""

from collections.abc import Awaitable
from typing import TypeVar

from acaciacove.errors import OffsetExpiredError, PlatformUnavailableError
from acaciacove.gateway.gateway_metrics import GatewayMetrics
from acaciacove.gateway.log_page import LogPage
from acaciacove.gateway.log_stream import LogStream
from acaciacove.gateway.metadata_log import AppendConflictError, MetadataLog
from acaciacove.gateway.metric import Metric

Result = TypeVar("Result")


class InstrumentedLog:
    """A log whose calls are counted by method and result."""

    def __init__(self, metadata: MetadataLog, metrics: GatewayMetrics) -> None:
        """Count the calls to ``metadata``."""
        self._metadata = metadata
        self._metrics = metrics

    async def newest(self, stream: LogStream) -> LogPage:
        """Return the newest record of each key."""
        return await self._count_call("newest", self._metadata.newest(stream))

    async def read(self, stream: LogStream, offset: int, wait_s: float) -> LogPage:
        """Return the records from an offset on."""
        return await self._count_call(
            "read", self._metadata.read(stream, offset, wait_s)
        )

    async def append(
        self, stream: LogStream, key: str, value: bytes, at: int | None
    ) -> int:
        """Append one record."""
        return await self._count_call(
            "append", self._metadata.append(stream, key, value, at)
        )

    async def _count_call(self, call: str, made: Awaitable[Result]) -> Result:
        result = "failed"
        try:
            answer = await made
            result = "ok"
            return answer
        except OffsetExpiredError:
            result = "expired"
            raise
        except AppendConflictError:
            result = "moved"
            raise
        except PlatformUnavailableError:
            result = "unavailable"
            raise
        finally:
            self._metrics.count(Metric.LOG_CALLS, call, result)
