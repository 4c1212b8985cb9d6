"""Gossip between gateways over UDP, sent to random peers in each round."""

import asyncio
import time

from acaciacove.errors import (
    MalformedMessageError,
    OffsetExpiredError,
    PlatformUnavailableError,
)
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.log_stream import LogStream
from acaciacove.gateway.metadata_log import MetadataLog
from acaciacove.gateway.metric import Metric
from acaciacove.gateway.peers.datagrams import (
    DatagramSocket,
    OpenDatagramSocket,
    open_udp,
)
from acaciacove.gateway.peers.gossip_sender import GossipSender
from acaciacove.gateway.peers.limit_gossip import LimitGossip
from acaciacove.gateway.peers.member_record import (
    MemberRecord,
    read_member,
    write_member,
)
from acaciacove.gateway.peers.peer import Peer
from acaciacove.gateway.peers.request_gossip import RequestGossip
from acaciacove.gateway.peers.work_gossip import WorkGossip
from acaciacove.messages.gateway_report import GatewayReport
from acaciacove.messages.limit_news import LimitNews
from acaciacove.messages.request_news import RequestNews
from acaciacove.messages.version_cell import VersionCell
from acaciacove.messages.work_sent import WorkSent
from acaciacove.settings.gateway_settings import is_ip_and_port
from acaciacove.wire.codec import decode, encode

# Intervals between reports. They are short while a roll-out is judged or the log is
# unavailable, and otherwise just short enough to tell live peers from failed ones.
BUSY_REPORT_INTERVAL_S = 0.3
IDLE_REPORT_INTERVAL_S = 2.0
# Reports are sent at the busy interval for this long after a roll-out outcome was read,
# so that peers learn of it quickly.
BUSY_AFTER_OUTCOME_S = 2.0
# Number of peers that one round of reports goes to; others follow in later rounds.
FANOUT = 4
# Age of the local view from which on peers are asked to confirm it.
CONFIRM_AGE_S = 2.0
# How long a silent peer counts among the gateways that share the limits. A host that is
# partitioned from this one continues to serve. A host that has failed for good only
# makes the shares of the others smaller.
MEMBER_EXPIRY_S = 60.0
# New peers announce themselves, and random reports replace lost updates. The member
# list in the log is read at the start, and again at this interval in case both failed.
READ_MEMBERS_INTERVAL_S = 60.0
READ_MEMBERS_RETRY_S = 2.0
JOIN_RETRY_S = 0.5
# Nonces of sent reports that are retained to match the echo of a reply.
MAX_PENDING_NONCES = 512


def _now_s() -> float:
    return asyncio.get_running_loop().time()


class PeerNetwork:
    """Sends and receives gossip, and maintains the list of peers."""

    def __init__(
        self,
        gateway: Gateway,
        metadata: MetadataLog,
        open_socket: OpenDatagramSocket | None = None,
    ) -> None:
        """Start without peers; ``open_socket`` replaces UDP in tests."""
        self._open_socket = open_socket or open_udp
        self._gateway = gateway
        self._metadata = metadata
        self._peers: dict[str, Peer] = {}
        self._transport: DatagramSocket | None = None
        self._incarnation = time.time_ns()
        self._pending_nonces: dict[int, float] = {}
        self._next_nonce = 0
        self._work_gossip = WorkGossip(
            lambda: gateway.members.values(),
            self._send_datagram,
            gateway.states,
            gateway.log,
        )
        sender = GossipSender(
            lambda: gateway.members.values(),
            self._send_datagram,
            gateway.random,
            _now_s,
        )
        self._request_gossip = RequestGossip(
            sender, gateway.guard, gateway.random, _now_s
        )
        self._limit_gossip = LimitGossip(
            sender, gateway.states, gateway.log, gateway.random, _now_s
        )

    async def open(self) -> None:
        """Listen for peers and install the gossip hooks of the gateway."""
        settings = self._gateway.settings
        self._transport = await self._open_socket(
            settings.host, settings.peer_port, self._receive
        )
        self._gateway.gossip_work = self._work_gossip.send_update
        self._gateway.guard.send_update = self._request_gossip.send_update
        self._gateway.guard.broadcast_update = self._request_gossip.broadcast_update
        self._gateway.gossip_limit = self._limit_gossip.send_update

    async def run(self) -> None:
        """Publish the member record, and send reports until cancelled."""
        members = asyncio.create_task(self._poll_members())
        try:
            while True:
                self._send_reports()
                busy = self._is_busy()
                await asyncio.sleep(
                    BUSY_REPORT_INTERVAL_S if busy else IDLE_REPORT_INTERVAL_S
                )
        finally:
            members.cancel()
            if self._transport is not None:
                self._transport.close()

    def _is_busy(self) -> bool:
        gateway = self._gateway
        since_outcome_s = asyncio.get_running_loop().time() - gateway.outcomes_changed_s
        return (
            bool(gateway.rollouts)
            or gateway.view.confirmed_age_s > CONFIRM_AGE_S
            or since_outcome_s < BUSY_AFTER_OUTCOME_S
            or self._request_gossip.has_recent_update
        )

    #
    # Membership
    #

    async def _poll_members(self) -> None:
        await self._join()
        offset = -1
        while True:
            try:
                if offset < 0:
                    page = await self._metadata.newest(LogStream.MEMBERS)
                else:
                    page = await self._metadata.read(LogStream.MEMBERS, offset, 0.0)
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
            self._gateway.members_loaded = True
            await asyncio.sleep(READ_MEMBERS_INTERVAL_S)

    async def _join(self) -> None:
        settings = self._gateway.settings
        member = MemberRecord(
            instance=settings.name,
            host=settings.host,
            port=settings.peer_port,
            availability_zone=settings.availability_zone,
        )
        while True:
            try:
                await self._metadata.append(
                    LogStream.MEMBERS, settings.name, write_member(member), None
                )
                return
            except PlatformUnavailableError:
                await asyncio.sleep(JOIN_RETRY_S)

    def _apply_member(self, key: str, value: bytes) -> None:
        try:
            member = read_member(key, value)
        except MalformedMessageError as error:
            self._gateway.log.write(Event.RECORD_UNREADABLE, key=key, detail=str(error))
            return
        if member.instance == self._gateway.settings.name:
            return
        now_s = asyncio.get_running_loop().time()
        known = self._peers.get(member.instance)
        if known is None or (known.host, known.port) != (member.host, member.port):
            self._peers[member.instance] = Peer(
                instance=member.instance,
                host=member.host,
                port=member.port,
                availability_zone=member.availability_zone,
                last_seen_s=now_s,
            )
            self._send_report(self._peers[member.instance], reply_wanted=True)
            self._gateway.log.write(Event.PEER_KNOWN, peer=member.instance)
        self._update_membership(now_s)

    def _update_membership(self, now_s: float) -> None:
        members = [
            peer
            for peer in self._peers.values()
            if now_s - peer.last_seen_s < MEMBER_EXPIRY_S
        ]
        self._gateway.members = {peer.instance: peer for peer in members}

    #
    # Reports
    #

    def _send_reports(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self._update_membership(now_s)
        peers = list(self._peers.values())
        chosen = self._gateway.random.sample(peers, min(FANOUT, len(peers)))
        wants_reply = self._gateway.view.confirmed_age_s > CONFIRM_AGE_S
        for peer in chosen:
            self._send_report(peer, reply_wanted=wants_reply)

    def _send_report(self, peer: Peer, reply_wanted: bool) -> None:
        self._send_datagram(encode(self._build_report(peer, reply_wanted)), peer)
        self._request_gossip.send_state(peer)
        self._limit_gossip.send_state(peer)

    def _send_datagram(self, data: bytes, peer: Peer) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.sendto(data, (peer.host, peer.port))
        self._count("sent", data)

    def _count(self, direction: str, data: bytes) -> None:
        metrics = self._gateway.metrics
        metrics.count(Metric.PEER_MESSAGES, direction)
        metrics.count(Metric.PEER_BYTES, direction, amount=len(data))

    def _build_report(self, peer: Peer, reply_wanted: bool) -> GatewayReport:
        gateway = self._gateway
        now_s = asyncio.get_running_loop().time()
        self._next_nonce += 1
        self._pending_nonces[self._next_nonce] = gateway.view.clock_s()
        while len(self._pending_nonces) > MAX_PENDING_NONCES:
            del self._pending_nonces[next(iter(self._pending_nonces))]
        cells: list[VersionCell] = []
        for progress in gateway.rollouts.values():
            cells += progress.local_cells()
        settings = gateway.settings
        return GatewayReport(
            instance=settings.name,
            incarnation=self._incarnation,
            address=f"{settings.host}:{settings.peer_port}",
            revision=gateway.view.operator_revision,
            confirmed_age_s=gateway.view.confirmed_age_s,
            nonce=self._next_nonce,
            echo=peer.last_nonce,
            reply_wanted=reply_wanted,
            rollouts=tuple(p.view(now_s) for p in gateway.rollouts.values()),
            cells=tuple(cells),
            availability_zone=settings.availability_zone,
            outcomes_offset=gateway.outcomes_offset,
        )

    def _receive(self, data: bytes) -> None:
        self._count("taken", data)
        try:
            message = decode(data)
        except MalformedMessageError as error:
            self._gateway.log.write(Event.PEER_MESSAGE_UNREADABLE, detail=str(error))
            return
        now_s = asyncio.get_running_loop().time()
        if isinstance(message, WorkSent):
            self._work_gossip.apply(message, now_s)
        elif isinstance(message, RequestNews):
            self._request_gossip.apply(message)
        elif isinstance(message, LimitNews):
            self._limit_gossip.apply(message)
        elif isinstance(message, GatewayReport):
            self._apply_report(message, now_s)

    def _apply_report(self, report: GatewayReport, now_s: float) -> None:
        if report.instance == self._gateway.settings.name:
            return
        if is_ip_and_port(report.address) is not None:
            detail = (
                f"report of gateway {report.instance}: expected its address as"
                f" IP:PORT, got {report.address!r}"
            )
            self._gateway.log.write(Event.PEER_MESSAGE_UNREADABLE, detail=detail)
            return
        peer = self._find_or_add_peer(report, now_s)
        peer.last_seen_s = peer.last_report_s = now_s
        peer.incarnation = report.incarnation
        peer.last_nonce = report.nonce
        newest_offset = max(self._gateway.peer_outcomes_offset, report.outcomes_offset)
        self._gateway.peer_outcomes_offset = newest_offset
        self._confirm_view(report)
        self._apply_rollouts(report, now_s)
        if report.reply_wanted:
            self._send_report(peer, reply_wanted=False)

    def _find_or_add_peer(self, report: GatewayReport, now_s: float) -> Peer:
        host, _, port = report.address.rpartition(":")
        peer = self._peers.get(report.instance)
        if peer is None or (peer.host, peer.port) != (host, int(port)):
            peer = Peer(
                instance=report.instance,
                host=host,
                port=int(port),
                availability_zone=report.availability_zone,
                last_seen_s=now_s,
            )
            self._peers[report.instance] = peer
            self._gateway.log.write(Event.PEER_KNOWN, peer=report.instance)
            self._update_membership(now_s)
        return peer

    def _confirm_view(self, report: GatewayReport) -> None:
        """Confirm the local view if a peer's report shows that it is the newest.

        The reply was created after the local request was sent. So the peer polled the
        log at most ``confirmed_age_s`` before that request. A report without a matching
        echo may have been queued for any length of time, and confirms nothing.
        """
        requested_boot_s = self._pending_nonces.get(report.echo)
        view = self._gateway.view
        if requested_boot_s is None or report.revision != view.operator_revision:
            return
        view.confirm(requested_boot_s - report.confirmed_age_s)

    def _apply_rollouts(self, report: GatewayReport, now_s: float) -> None:
        peer = f"{report.instance}/{report.incarnation}"
        for view in report.rollouts:
            progress = self._gateway.rollouts.get(view.service)
            if progress is None or progress.order.revision != view.revision:
                continue
            cells = [
                cell
                for cell in report.cells
                if cell.service == view.service and cell.revision == view.revision
            ]
            progress.apply_peer_counts(peer, view, cells, now_s)
