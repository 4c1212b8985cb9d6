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
        offset = -1
        while True:
            try:
                if offset < 0:
                    page = await self.metadata.newest(LogStream.MEMBERS)
                else:
                    page = await self.metadata.read(LogStream.MEMBERS, offset, 0.0)
            except OffsetExpiredError:
                offset = -1
                continue
            except PlatformUnavailableError:
                # The readers of the operator's decisions already log an outage.
                # The list of peers is retained.
                await asyncio.sleep(READ_MEMBERS_RETRY_S)
                continue
            offset = page.next_offset
            for record in page.records:
                if record.value is not None:
                    self._apply_member(record.key, record.value)
            self.gateway.members_loaded = True
            await asyncio.sleep(READ_MEMBERS_INTERVAL_S)

    async def _join(self) -> None:
        settings = self.gateway.settings
        member = MemberRecord(
            instance=settings.name,
            host=settings.host,
            port=settings.peer_port,
            availability_zone=settings.availability_zone,
        )
        while True:
            try:
                await self.metadata.append(
                    LogStream.MEMBERS, settings.name, write_member(member), None
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
