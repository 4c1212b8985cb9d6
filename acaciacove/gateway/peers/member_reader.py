"""Publishes the gateway's member record and reads those of its peers."""

import asyncio
from collections.abc import Callable

from attrs import define

from acaciacove.errors import (
    MalformedMessageError,
    OffsetExpiredError,
    PlatformUnavailableError,
)
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.log_page import LogPage
from acaciacove.gateway.log_position import BEFORE_ALL, LogPosition
from acaciacove.gateway.log_stream import LogStream
from acaciacove.gateway.metadata_log import MetadataLog
from acaciacove.gateway.peers.member_record import (
    MemberRecord,
    read_member,
    write_member,
)
from acaciacove.gateway.peers.peer import Peer
from acaciacove.gateway.peers.peer_list import PeerList

# New peers announce themselves, and random reports replace lost updates. The member
# list in the log is read at the start, and again at this interval in case both failed.
READ_MEMBERS_INTERVAL_S = 60.0
READ_MEMBERS_RETRY_S = 2.0
# All gateways read their list when the log has returned from a copy, spread over this
# time for each hundred of them.
REREAD_SPREAD_S = 1.0
REREAD_SPREAD_GATEWAYS = 100
JOIN_RETRY_S = 0.5


@define(eq=False)
class MemberReader:
    """Keeps ``peers`` complete from the log; ``greet`` is called for each new peer."""

    gateway: Gateway
    metadata: MetadataLog
    peers: PeerList
    greet: Callable[[Peer], None]

    async def run(self) -> None:
        """Publish the member record, and read those of peers until cancelled."""
        await self._join()
        era = self.gateway.era
        read, is_lost = BEFORE_ALL, True
        while True:
            is_snapshot = is_lost or read.era != era.current
            try:
                if is_snapshot:
                    page = await self.metadata.newest(LogStream.MEMBERS)
                else:
                    page = await self.metadata.read(LogStream.MEMBERS, read.offset, 0.0)
            except OffsetExpiredError:
                is_lost = True
                continue
            except PlatformUnavailableError:
                # The readers of the operator's decisions already log an outage.
                # The list of peers is retained.
                await asyncio.sleep(READ_MEMBERS_RETRY_S)
                continue
            if not is_snapshot and page.era != read.era:
                is_lost = True
                continue
            read, is_lost = LogPosition(page.era, page.next_offset), False
            for record in page.records:
                if record.value is not None:
                    self._apply_member(record.key, record.value)
            self.gateway.members_loaded = True
            if is_snapshot and not self._is_listed(page):
                self.gateway.log.write(Event.MEMBER_RECORD_LOST, era=page.era)
                await self._join()
            await era.wait_beyond(read.era, READ_MEMBERS_INTERVAL_S)
            if era.current > read.era:
                await asyncio.sleep(self.gateway.random.uniform(0.0, self._spread_s()))

    def _spread_s(self) -> float:
        gateways = self.gateway.gateway_count
        return REREAD_SPREAD_S * (1.0 + gateways / REREAD_SPREAD_GATEWAYS)

    def _is_listed(self, page: LogPage) -> bool:
        """Return whether a snapshot holds the record of this gateway as it is now."""
        name, value = self.gateway.settings.name, self._record()
        return any(r.key == name and r.value == value for r in page.records)

    def _record(self) -> bytes:
        settings = self.gateway.settings
        member = MemberRecord(
            instance=settings.name,
            host=settings.host,
            port=settings.peer_port,
            availability_zone=settings.availability_zone,
        )
        return write_member(member)

    async def _join(self) -> None:
        while True:
            try:
                await self.metadata.append(
                    LogStream.MEMBERS,
                    self.gateway.settings.name,
                    self._record(),
                    None,
                )
                return
            except PlatformUnavailableError:
                await asyncio.sleep(JOIN_RETRY_S)

    def _apply_member(self, key: str, value: bytes) -> None:
        try:
            member = read_member(key, value)
        except MalformedMessageError as error:
            self.gateway.log.write(Event.RECORD_UNREADABLE, key=key, detail=str(error))
            return
        if member.instance == self.gateway.settings.name:
            return
        now_s = asyncio.get_running_loop().time()
        if self.peers.find(member.instance, member.host, member.port) is None:
            peer = Peer(
                instance=member.instance,
                host=member.host,
                port=member.port,
                availability_zone=member.availability_zone,
                last_seen_s=now_s,
            )
            self.peers.add(peer)
            self.greet(peer)
            self.gateway.log.write(Event.PEER_KNOWN, peer=member.instance)
        self.peers.update_members(now_s)
