"""The platform's log, read through other gateways where possible."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from attrs import define, field

from acaciacove.errors import PlatformUnavailableError
from acaciacove.gateway.event_log import EventLog
from acaciacove.gateway.gateway_metrics import GatewayMetrics
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.log_page import LogPage
from acaciacove.gateway.log_stream import LogStream
from acaciacove.gateway.metadata_log import MetadataLog
from acaciacove.gateway.metric import Metric
from acaciacove.gateway.peers.peer import Peer
from acaciacove.gateway.relay.not_told import NotTold
from acaciacove.gateway.relay.reading_order import (
    reading_group,
    reading_order,
    whom_to_ask,
)
from acaciacove.gateway.relay.relay_pace import RelayPace
from acaciacove.gateway.relay.stream_tail import TOLD_STREAMS

if TYPE_CHECKING:
    from acaciacove.gateway.relay.reader_link import ReaderLink

# How long an unreachable gateway is not asked again. A dead one costs each of the
# others one connection attempt in this time.
UNREACHED_PAUSE_S = 3.0
THE_LOG = "log"

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
    pace: Callable[[], RelayPace]
    _links: dict[tuple[str, LogStream], "ReaderLink"] = field(factory=dict)
    _not_before_s: dict[tuple[str, LogStream], float] = field(factory=dict)
    _sources: dict[LogStream, str] = field(factory=dict)
    _refused_s: dict[LogStream, float] = field(factory=dict)
    _asked_more: int = 0

    async def newest(self, stream: LogStream) -> LogPage:
        """Return the newest record of each key."""
        return await self.metadata.newest(stream)

    async def append(
        self, stream: LogStream, key: str, value: bytes, at: int | None
    ) -> int:
        """Append one record."""
        return await self.metadata.append(stream, key, value, at)

    async def read(self, stream: LogStream, offset: int, wait_s: float) -> LogPage:
        """Return the records from an offset on, relayed or read from the log."""
        if stream in TOLD_STREAMS:
            page = await self._ask_others(stream, offset, wait_s)
            if page is not None:
                return page
        return await self._read_log(stream, offset, wait_s)

    async def _ask_others(
        self, stream: LogStream, offset: int, wait_s: float
    ) -> LogPage | None:
        """Ask the candidates in order until one returns records.

        A gateway that does not answer takes up a large part of the time within which a
        removal must become known. After one such timeout this gateway reads the log
        itself, unless the log rejects its calls.
        """
        may_read = not self._is_refused(stream)
        for name in self._whom_to_ask(stream, may_read):
            told = await self._ask(name, stream, offset, wait_s)
            if isinstance(told, LogPage):
                self._note_source(stream, name)
                return told
            if told is NotTold.UNREACHED and may_read:
                return None
        return None

    def _whom_to_ask(self, stream: LogStream, may_read: bool) -> list[str]:
        now_s = self.clock_s()
        group = self._group()
        names = whom_to_ask(self.name, group, may_read)
        if not may_read:
            names += self._one_more(group.difference(names, {self.name}))
        return [name for name in names if now_s >= self._not_before(name, stream)]

    def _one_more(self, others: set[str]) -> list[str]:
        """Return one additional gateway, a different one each time.

        If the preferred gateways have lost the log, the others read it themselves. A
        gateway that cannot read it gets the records only from one of those.
        """
        if not others:
            return []
        self._asked_more += 1
        order = reading_order(others)
        return [order[self._asked_more % len(order)]]

    def _not_before(self, name: str, stream: LogStream) -> float:
        return self._not_before_s.get((name, stream), 0.0)

    def _is_refused(self, stream: LogStream) -> bool:
        """Return whether the log has just rejected a call for this stream.

        Each stream counts separately: on a connection that went silent together with
        the log, a call may fail seconds after calls for other streams have succeeded.
        """
        refused_s = self._refused_s.get(stream, float("-inf"))
        return self.clock_s() - refused_s < self.pace().turned_away_s

    def _group(self) -> set[str]:
        zones = {name: peer.availability_zone for name, peer in self.members().items()}
        return reading_group(self.name, zones | {self.name: self.availability_zone})

    async def _ask(
        self, name: str, stream: LogStream, offset: int, wait_s: float
    ) -> LogPage | NotTold:
        link = self._link(name, stream)
        if link is None:
            return NotTold.NO_MEMBER
        try:
            page = await link.ask(stream.value, offset, wait_s)
        except (OSError, TimeoutError) as error:
            for told in TOLD_STREAMS:
                self._put_off(name, told, UNREACHED_PAUSE_S)
            return self._not_told(name, stream, NotTold.UNREACHED, repr(error))
        if page is None:
            self._put_off(name, stream, self.pace().stale_s)
            detail = "it lacks the offset or its view is too old"
            return self._not_told(name, stream, NotTold.STALE, detail)
        self.metrics.count(Metric.LOG_QUESTIONS, "told")
        return page

    def _put_off(self, name: str, stream: LogStream, pause_s: float) -> None:
        self._not_before_s[(name, stream)] = self.clock_s() + pause_s

    def _not_told(
        self, name: str, stream: LogStream, result: NotTold, detail: str
    ) -> NotTold:
        self.metrics.count(Metric.LOG_QUESTIONS, result.value)
        # During an outage of the log, each gateway asks all others in vain several
        # times a second. These lines are routine, so that lines on requests take
        # precedence.
        self.log.write(
            Event.READER_PUT_OFF,
            routine=result is NotTold.STALE,
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
            link = ReaderLink(*address, self.clock_s, self.pace)
            self._links[(name, stream)] = link
        return link

    async def _read_log(self, stream: LogStream, offset: int, wait_s: float) -> LogPage:
        if stream in TOLD_STREAMS and self._is_put_off(stream):
            raise PlatformUnavailableError(
                f"read of stream {stream.value} deferred: the last call was rejected"
            )
        try:
            page = await self.metadata.read(stream, offset, wait_s)
        except PlatformUnavailableError:
            self._refused_s[stream] = self.clock_s()
            raise
        # The log is available again, so other streams whose calls failed may be
        # retried.
        self._refused_s.clear()
        if stream in TOLD_STREAMS:
            self._note_source(stream, THE_LOG)
        return page

    def _is_put_off(self, stream: LogStream) -> bool:
        """Return whether to skip a read, as another gateway can report the recovery.

        A gateway that cannot be reached could not report the recovery.
        """
        if not self._is_refused(stream):
            return False
        soon_s = self.clock_s() + self.pace().stale_s
        return any(
            self._not_before(name, stream) <= soon_s
            for name in whom_to_ask(self.name, self._group(), may_read=True)
        )

    def _note_source(self, stream: LogStream, source: str) -> None:
        if self._sources.get(stream) == source:
            return
        self._sources[stream] = source
        self.log.write(Event.LOG_SOURCE, stream=stream.value, source=source)
