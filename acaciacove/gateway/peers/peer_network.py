"""Gossip between gateways over UDP, sent to random peers in each round."""

import asyncio

from acaciacove.errors import MalformedMessageError
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.metadata_log import MetadataLog
from acaciacove.gateway.metric import Metric
from acaciacove.gateway.peers.datagrams import (
    DatagramSocket,
    OpenDatagramSocket,
    open_udp,
)
from acaciacove.gateway.peers.gateway_reports import GatewayReports
from acaciacove.gateway.peers.gossip_sender import GossipSender
from acaciacove.gateway.peers.limit_gossip import LimitGossip
from acaciacove.gateway.peers.member_reader import MemberReader
from acaciacove.gateway.peers.peer import Peer
from acaciacove.gateway.peers.peer_list import PeerList
from acaciacove.gateway.peers.request_gossip import RequestGossip
from acaciacove.gateway.peers.work_gossip import WorkGossip
from acaciacove.messages.gateway_report import GatewayReport
from acaciacove.messages.limit_news import LimitNews
from acaciacove.messages.request_news import RequestNews
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


def _now_s() -> float:
    return asyncio.get_running_loop().time()


class PeerNetwork:
    """Sends and receives gossip, and reports at intervals to random peers."""

    def __init__(
        self,
        gateway: Gateway,
        metadata: MetadataLog,
        open_socket: OpenDatagramSocket | None = None,
    ) -> None:
        """Start without peers; ``open_socket`` replaces UDP in tests."""
        self._open_socket = open_socket or open_udp
        self._gateway = gateway
        self._peers = PeerList(gateway)
        self._members = MemberReader(
            gateway,
            metadata,
            self._peers,
            lambda peer: self._send_report(peer, reply_wanted=True),
        )
        self._reports = GatewayReports(gateway)
        self._transport: DatagramSocket | None = None
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
        members = asyncio.create_task(self._members.run())
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

    def _send_reports(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self._peers.update_members(now_s)
        peers = self._peers.all()
        chosen = self._gateway.random.sample(peers, min(FANOUT, len(peers)))
        wants_reply = self._gateway.view.confirmed_age_s > CONFIRM_AGE_S
        for peer in chosen:
            self._send_report(peer, reply_wanted=wants_reply)

    def _send_report(self, peer: Peer, reply_wanted: bool) -> None:
        self._send_datagram(encode(self._reports.build(peer, reply_wanted)), peer)
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
        self._reports.apply(report, peer, now_s)
        if report.reply_wanted:
            self._send_report(peer, reply_wanted=False)

    def _find_or_add_peer(self, report: GatewayReport, now_s: float) -> Peer:
        host, _, port = report.address.rpartition(":")
        peer = self._peers.find(report.instance, host, int(port))
        if peer is None:
            peer = Peer(
                instance=report.instance,
                host=host,
                port=int(port),
                availability_zone=report.availability_zone,
                last_seen_s=now_s,
            )
            self._peers.add(peer)
            self._gateway.log.write(Event.PEER_KNOWN, peer=report.instance)
            self._peers.update_members(now_s)
        return peer
