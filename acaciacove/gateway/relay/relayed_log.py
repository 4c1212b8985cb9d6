"""The platform's log, read through other gateways where possible."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from attrs import define, evolve, field

from acaciacove.errors import PlatformUnavailableError
from acaciacove.gateway.event_log import EventLog
from acaciacove.gateway.gateway_metrics import GatewayMetrics
from acaciacove.gateway.log_era import LogEra
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.log_page import LogPage
from acaciacove.gateway.log_position import LogPosition
from acaciacove.gateway.log_stream import LogStream
from acaciacove.gateway.metadata_log import MetadataLog
from acaciacove.gateway.metric import Metric
from acaciacove.gateway.peers.peer import Peer
from acaciacove.gateway.relay.reader_order import (
    reader_group,
    reader_order,
    relay_candidates,
)
from acaciacove.gateway.relay.relay_failure import RelayFailure
from acaciacove.gateway.relay.relay_intervals import RelayIntervals
from acaciacove.gateway.relay.stream_tail import RELAYED_STREAMS
from acaciacove.messages.log_ask import LogAsk

if TYPE_CHECKING:
    from acaciacove.gateway.relay.reader_link import ReaderLink

# How long an unreachable gateway is not asked again. A dead one costs each of the
# others one connection attempt in this time.
UNREACHABLE_PAUSE_S = 3.0
SOURCE_LOG = "log"

Members = Callable[[], dict[str, Peer]]


@define(eq=False)
class RelayedLog:
    """Reads through other gateways first, as calls to the log are limited and billed.

    ``members`` are the other gateways by name. Appends, snapshots and all streams that
    are not relayed go directly to the log.
    """

    name: str
    availability_zone: str
    metadata: MetadataLog
    members: Members
    clock_s: Callable[[], float]
    log: EventLog
    metrics: GatewayMetrics
    relay_intervals: Callable[[], RelayIntervals]
    era: LogEra
    _links: dict[tuple[str, LogStream], "ReaderLink"] = field(factory=dict)
    _not_before_s: dict[tuple[str, LogStream], float] = field(factory=dict)
    _sources: dict[LogStream, str] = field(factory=dict)
    _rejected_s: dict[LogStream, float] = field(factory=dict)
    _extra_requests: int = 0

    def close(self) -> None:
        """Close the connections to other gateways."""
        for link in self._links.values():
            link.close()

    async def newest(self, stream: LogStream) -> LogPage:
        """Return the newest record of each key."""
        return await self.metadata.newest(stream)

    async def append(
        self, stream: LogStream, key: str, value: bytes, at: int | None
    ) -> LogPosition:
        """Append one record."""
        return await self.metadata.append(stream, key, value, at)

    async def read(self, stream: LogStream, offset: int, wait_s: float) -> LogPage:
        """Return the records from an offset on, relayed or read from the log."""
        began_s = self.clock_s()
        if stream in RELAYED_STREAMS:
            page = await self._read_from_peers(stream, offset, wait_s)
            if page is not None:
                return page
        asked_s = self.clock_s() - began_s
        page = await self._read_log(stream, offset, wait_s)
        return evolve(page, asked_after_s=page.asked_after_s + asked_s)

    async def _read_from_peers(
        self, stream: LogStream, offset: int, wait_s: float
    ) -> LogPage | None:
        """Ask the candidates in order until one returns records.

        A gateway that does not answer takes up a large part of the time within which a
        removal must become known. After one such timeout this gateway reads the log
        itself, unless the log rejects its calls.
        """
        may_read = not self._is_rejected(stream)
        for name in self._candidates(stream, may_read):
            result = await self._request(name, stream, offset, wait_s, may_read)
            if isinstance(result, LogPage):
                self._log_source(stream, name)
                return result
            if result in (RelayFailure.UNREACHED, RelayFailure.SLOW) and may_read:
                return None
        return None

    def _candidates(self, stream: LogStream, may_read: bool) -> list[str]:
        now_s = self.clock_s()
        group = self._group()
        names = relay_candidates(self.name, group, may_read)
        if not may_read:
            names += self._extra_peer(group.difference(names, {self.name}))
        return [name for name in names if now_s >= self._not_before(name, stream)]

    def _extra_peer(self, others: set[str]) -> list[str]:
        """Return one additional gateway, a different one each time.

        If the preferred gateways have lost the log, the others read it themselves. A
        gateway that cannot read it gets the records only from one of those.
        """
        if not others:
            return []
        self._extra_requests += 1
        order = reader_order(others)
        return [order[self._extra_requests % len(order)]]

    def _not_before(self, name: str, stream: LogStream) -> float:
        return self._not_before_s.get((name, stream), 0.0)

    def _is_rejected(self, stream: LogStream) -> bool:
        """Return whether the log has just rejected a call for this stream.

        Each stream counts separately: on a connection that went silent together with
        the log, a call may fail seconds after calls for other streams have succeeded.
        """
        rejected_s = self._rejected_s.get(stream, float("-inf"))
        return self.clock_s() - rejected_s < self.relay_intervals().rejected_pause_s

    def _group(self) -> set[str]:
        zones = {name: peer.availability_zone for name, peer in self.members().items()}
        return reader_group(self.name, zones | {self.name: self.availability_zone})

    async def _request(
        self, name: str, stream: LogStream, offset: int, wait_s: float, may_read: bool
    ) -> LogPage | RelayFailure:
        link = self._link(name, stream)
        if link is None:
            return RelayFailure.NO_MEMBER
        intervals = self.relay_intervals()
        transfer_s = intervals.transfer_s if may_read else intervals.longest_transfer_s
        try:
            request = LogAsk(stream.value, offset, wait_s, self.era.current)
            page = await link.request_records(request, transfer_s)
        except (OSError, TimeoutError) as error:
            detail = (
                f"{error!r} after {link.received_bytes} bytes of the reply"
                f" for offset {offset}"
            )
            if isinstance(error, TimeoutError) and link.received_bytes:
                # It answers, but slowly: the next reply may be shorter.
                self._defer(name, stream, intervals.stale_pause_s)
                return self._record_failure(name, stream, RelayFailure.SLOW, detail)
            for other in RELAYED_STREAMS:
                self._defer(name, other, UNREACHABLE_PAUSE_S)
            return self._record_failure(name, stream, RelayFailure.UNREACHED, detail)
        if page is None:
            self._defer(name, stream, intervals.stale_pause_s)
            detail = (
                f"it lacks offset {offset} of era {self.era.current}"
                " or its view is too old"
            )
            return self._record_failure(name, stream, RelayFailure.STALE, detail)
        self.metrics.count(Metric.LOG_QUESTIONS, "told")
        return page

    def _defer(self, name: str, stream: LogStream, pause_s: float) -> None:
        self._not_before_s[(name, stream)] = self.clock_s() + pause_s

    def _record_failure(
        self, name: str, stream: LogStream, result: RelayFailure, detail: str
    ) -> RelayFailure:
        self.metrics.count(Metric.LOG_QUESTIONS, result.value)
        # During an outage of the log, each gateway asks all others in vain several
        # times a second. These lines are routine, so that lines on requests take
        # precedence.
        self.log.write(
            Event.READER_PUT_OFF,
            routine=result is RelayFailure.STALE,
            peer=name,
            stream=stream.value,
            result=result.value,
            detail=detail,
        )
        return result

    def _link(self, name: str, stream: LogStream) -> "ReaderLink | None":
        """Return the link to a gateway, or None if it is no longer a member.

        A member that was silent for long may be removed while the one before it in the
        list is being asked. An unchecked lookup here would raise in the task that
        follows the log, which stops the process.
        """
        # The codec of the links takes a tenth of a second to load, which the first
        # callers after a start would have to wait. There is no gateway to ask until
        # peers are known, and they are found with the same codec.
        from acaciacove.gateway.relay.reader_link import ReaderLink

        member = self.members().get(name)
        if member is None:
            return None
        address = (member.host, member.port)
        link = self._links.get((name, stream))
        if link is None or link.address != address:
            if link is not None:
                link.close()
            link = ReaderLink(*address, self.clock_s, self.relay_intervals, self.log)
            self._links[(name, stream)] = link
        return link

    async def _read_log(self, stream: LogStream, offset: int, wait_s: float) -> LogPage:
        if stream in RELAYED_STREAMS and self._is_deferred(stream):
            raise PlatformUnavailableError(
                f"read of stream {stream.value} deferred: the last call was rejected"
            )
        try:
            page = await self.metadata.read(stream, offset, wait_s)
        except PlatformUnavailableError:
            self._rejected_s[stream] = self.clock_s()
            raise
        # The log is available again, so other streams whose calls failed may be
        # retried.
        self._rejected_s.clear()
        if stream in RELAYED_STREAMS:
            self._log_source(stream, SOURCE_LOG)
        return page

    def _is_deferred(self, stream: LogStream) -> bool:
        """Return whether to skip a read, as another gateway can report the recovery.

        A gateway that cannot be reached could not report the recovery.
        """
        if not self._is_rejected(stream):
            return False
        soon_s = self.clock_s() + self.relay_intervals().stale_pause_s
        return any(
            self._not_before(name, stream) <= soon_s
            for name in relay_candidates(self.name, self._group(), may_read=True)
        )

    def _log_source(self, stream: LogStream, source: str) -> None:
        if self._sources.get(stream) == source:
            return
        self._sources[stream] = source
        self.log.write(Event.LOG_SOURCE, stream=stream.value, source=source)
