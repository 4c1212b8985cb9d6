"""Counts calls to the platform's log, and observes the era of its answers."""

from collections.abc import Awaitable
from typing import TypeVar

from acaciacove.errors import OffsetExpiredError, PlatformUnavailableError
from acaciacove.gateway.gateway_metrics import GatewayMetrics
from acaciacove.gateway.log_era import LogEra
from acaciacove.gateway.log_page import LogPage
from acaciacove.gateway.log_position import LogPosition
from acaciacove.gateway.log_stream import LogStream
from acaciacove.gateway.metadata_log import AppendConflictError, MetadataLog
from acaciacove.gateway.metric import Metric

Result = TypeVar("Result")


class InstrumentedLog:
    """A log whose calls are counted by method and result.

    Calls are rate limited and billed.
    """

    def __init__(
        self, metadata: MetadataLog, metrics: GatewayMetrics, era: LogEra
    ) -> None:
        """Count the calls to ``metadata``, and pass the log's era on to ``era``."""
        self._metadata = metadata
        self._metrics = metrics
        self._era = era

    async def newest(self, stream: LogStream) -> LogPage:
        """Return the newest record of each key."""
        page = await self._count_call("newest", self._metadata.newest(stream))
        self._era.observe(page.era)
        return page

    async def read(self, stream: LogStream, offset: int, wait_s: float) -> LogPage:
        """Return the records from an offset on."""
        page = await self._count_call(
            "read", self._metadata.read(stream, offset, wait_s)
        )
        self._era.observe(page.era)
        return page

    async def append(
        self, stream: LogStream, key: str, value: bytes, at: int | None
    ) -> LogPosition:
        """Append one record."""
        position = await self._count_call(
            "append", self._metadata.append(stream, key, value, at)
        )
        self._era.observe(position.era)
        return position

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
