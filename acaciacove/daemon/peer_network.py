"""One process among its peers: digests over UDP, records over TCP.

The decisions are Spread's and Membership's; this class owns the socket and the time.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from socket import socket

from acaciacove.errors import MalformedMessageError
from acaciacove.fleet.instance import Instance
from acaciacove.messages.digest import Digest
from acaciacove.messages.evidence import Evidence
from acaciacove.messages.hello import Hello
from acaciacove.messages.message import Message
from acaciacove.messages.pull import Pull
from acaciacove.messages.records import Records
from acaciacove.state.fleet_holder import FleetHolder
from acaciacove.state.membership import Membership
from acaciacove.state.outgoing import Outgoing
from acaciacove.state.spread import Spread
from acaciacove.wire.codec import decode, encode
from acaciacove.wire.connection import connect

TICK_INTERVAL_S = 0.1
PULL_TIMEOUT_S = 1.0
SHUTDOWN_FANOUT = 8

Address = tuple[str, int]
OnEvidence = Callable[[Evidence], Evidence | None]


class PeerNetwork:
    """Owns the UDP socket of a process and its conversations with peers.

    ``control_bytes`` counts what was sent for control, UDP payloads and pulls.
    ``on_evidence`` takes evidence in and may return an answer to its sender.
    """

    def __init__(
        self,
        local_instance: Instance,
        spread: Spread,
        membership: Membership,
        holder: FleetHolder,
    ) -> None:
        """Take what the network serves; nothing is open before ``opened``."""
        self.control_bytes = 0
        self.on_evidence: OnEvidence = _ignore_evidence
        self._local_instance = local_instance
        self._holder = holder
        self._spread = spread
        self._membership = membership
        self._transport: asyncio.DatagramTransport | None = None
        self._addresses: dict[str, Address] = {}
        self._pulls: set[asyncio.Task[None]] = set()

    @asynccontextmanager
    async def opened(self, udp_socket: socket) -> AsyncIterator[None]:
        """Serve a bound UDP socket while the block runs, then close it."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramReceiver(self._receive), sock=udp_socket
        )
        self._transport = transport
        try:
            yield
        finally:
            for pull in tuple(self._pulls):
                pull.cancel()
            transport.close()
            self._transport = None

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(TICK_INTERVAL_S)

    def tick(self) -> None:
        """Look for silence, probe, and tell peers what is new."""
        now_s = _now_s()
        self._membership.check(now_s)
        for instance in self._membership.to_probe(now_s):
            self.send_datagram(instance.name, self._spread.digest(reply_wanted=True))
        self._send(self._spread.tick(now_s, self._membership.peers()))

    def announce_leaving(self) -> None:
        """Tell some peers at once that this process leaves."""
        self._send(self._spread.announce(self._membership.peers(), SHUTDOWN_FANOUT))

    def answer(self, sender: str, message: Message) -> list[Message]:
        """Take a message in that came on a connection; return the replies to it."""
        if isinstance(message, Digest):
            self._membership.on_digest(message, _now_s())
        replies = self._spread.on_message(sender, message, _now_s())
        return [reply.message for reply in replies]

    def _receive(self, data: bytes, address: Address) -> None:
        """Take in a datagram; junk is dropped."""
        try:
            message = decode(data)
        except MalformedMessageError:
            return
        if isinstance(message, Evidence):
            self._answer_evidence(message, address)
        if not isinstance(message, Digest):
            return
        self._addresses[message.instance] = address
        now_s = _now_s()
        self._membership.on_digest(message, now_s)
        self._send(self._spread.on_message(message.instance, message, now_s))

    def _answer_evidence(self, evidence: Evidence, address: Address) -> None:
        answer = self.on_evidence(evidence)
        if answer is not None:
            self._send_datagram(answer, address)

    def _send(self, outgoing: list[Outgoing]) -> None:
        for item in outgoing:
            match item.message:
                case Digest():
                    self.send_datagram(item.instance, item.message)
                case Pull():
                    self._start_pull(item.instance, item.message)

    def send_datagram(self, name: str, message: Digest | Evidence) -> None:
        """Send a message that may be lost to an instance, if it is known."""
        address = self._address_of(name)
        if address is not None:
            self._send_datagram(message, address)

    def _send_datagram(self, message: Digest | Evidence, address: Address) -> None:
        if self._transport is None:
            return
        data = encode(message)
        self.control_bytes += len(data)
        self._transport.sendto(data, address)

    def _start_pull(self, name: str, pull: Pull) -> None:
        address = self._address_of(name)
        if address is None:
            return
        task = asyncio.create_task(self._pull(name, address, pull))
        self._pulls.add(task)
        task.add_done_callback(self._pulls.discard)

    async def _pull(self, name: str, address: Address, pull: Pull) -> None:
        """Fetch records from a peer; another peer is asked if this one is lost."""
        try:
            async with asyncio.timeout(PULL_TIMEOUT_S):
                connection = await connect(*address)
                try:
                    await connection.send_all((self._hello(), pull))
                    while (message := await connection.receive()) is not None:
                        if isinstance(message, Records):
                            break
                finally:
                    connection.close()
        except (OSError, TimeoutError):
            return
        self.control_bytes += len(encode(pull))
        if isinstance(message, Records):
            self._send(self._spread.on_message(name, message, _now_s()))

    def _hello(self) -> Hello:
        local_instance = self._local_instance
        revision = self._holder.revision
        zone = local_instance.availability_zone
        return Hello(
            local_instance.name,
            local_instance.incarnation,
            local_instance.role,
            zone,
            revision,
        )

    def _address_of(self, name: str) -> Address | None:
        """Return where a peer listens: as it is listed, or as it last spoke."""
        peer = self._membership.find(name)
        return (peer.host, peer.port) if peer else self._addresses.get(name)


class _DatagramReceiver(asyncio.DatagramProtocol):
    """Hands datagrams on; errors of single sends are not this process's."""

    def __init__(self, receive: Callable[[bytes, Address], None]) -> None:
        self._receive = receive

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self._receive(data, addr)


def _ignore_evidence(_: Evidence) -> None:
    """Ignore evidence, as a process does that judges nothing."""


def _now_s() -> float:
    return asyncio.get_running_loop().time()
