"""Transport between a process and its peers: digests over UDP, records over TCP.

``ReleaseGossip`` and ``Membership`` make the decisions. ``PeerNetwork`` owns the socket
and the clock.
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
from acaciacove.state.fleet_store import FleetStore
from acaciacove.state.membership import Membership
from acaciacove.state.outgoing_message import OutgoingMessage
from acaciacove.state.release_gossip import ReleaseGossip
from acaciacove.wire.codec import decode, encode
from acaciacove.wire.connection import connect

TICK_INTERVAL_S = 0.1
PULL_TIMEOUT_S = 1.0
SHUTDOWN_FANOUT = 8

Address = tuple[str, int]
OnEvidence = Callable[[Evidence], Evidence | None]


class PeerNetwork:
    """Sends and receives the messages between a process and its peers.

    ``control_bytes`` counts the bytes sent as UDP payloads and as pulls.
    ``on_evidence`` is called with received evidence and may return an answer to its
    sender.
    """

    def __init__(
        self,
        local_instance: Instance,
        release_gossip: ReleaseGossip,
        membership: Membership,
        fleet_store: FleetStore,
    ) -> None:
        """Initialise without a socket; ``opened`` opens it."""
        self.control_bytes = 0
        self.on_evidence: OnEvidence = _ignore_evidence
        self._local_instance = local_instance
        self._fleet_store = fleet_store
        self._release_gossip = release_gossip
        self._membership = membership
        self._transport: asyncio.DatagramTransport | None = None
        self._addresses: dict[str, Address] = {}
        self._pulls: set[asyncio.Task[None]] = set()

    @asynccontextmanager
    async def opened(self, udp_socket: socket) -> AsyncIterator[None]:
        """Receive from a bound UDP socket while the block runs, then close it."""
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
        """Call ``tick`` every ``TICK_INTERVAL_S`` until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(TICK_INTERVAL_S)

    def tick(self) -> None:
        """Check members for silence, send due probes, and gossip to peers."""
        now_s = _now_s()
        self._membership.check_timeouts(now_s)
        for instance in self._membership.due_probes(now_s):
            self.send_datagram(
                instance.name, self._release_gossip.digest(reply_wanted=True)
            )
        self._send(self._release_gossip.tick(now_s, self._membership.peers()))

    def announce_leaving(self) -> None:
        """Inform a subset of peers at once that this process is shutting down."""
        self._send(
            self._release_gossip.announce_status(
                self._membership.peers(), SHUTDOWN_FANOUT
            )
        )

    def answer(self, sender: str, message: Message) -> list[Message]:
        """Process a message from a connection and return the replies."""
        if isinstance(message, Digest):
            self._membership.on_digest(message, _now_s())
        replies = self._release_gossip.on_message(sender, message, _now_s())
        return [reply.message for reply in replies]

    def _receive(self, data: bytes, address: Address) -> None:
        """Process a datagram; a malformed one is ignored."""
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
        self._send(self._release_gossip.on_message(message.instance, message, now_s))

    def _answer_evidence(self, evidence: Evidence, address: Address) -> None:
        answer = self.on_evidence(evidence)
        if answer is not None:
            self._send_datagram(answer, address)

    def _send(self, outgoing: list[OutgoingMessage]) -> None:
        for item in outgoing:
            match item.message:
                case Digest():
                    self.send_datagram(item.instance, item.message)
                case Pull():
                    self._start_pull(item.instance, item.message)

    def send_datagram(self, name: str, message: Digest | Evidence) -> None:
        """Send an unreliable message to an instance if its address is known."""
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
        """Fetch records from a peer; on failure a later tick asks another peer."""
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
            self._send(self._release_gossip.on_message(name, message, _now_s()))

    def _hello(self) -> Hello:
        local_instance = self._local_instance
        revision = self._fleet_store.revision
        zone = local_instance.availability_zone
        return Hello(
            local_instance.name,
            local_instance.incarnation,
            local_instance.role,
            zone,
            revision,
        )

    def _address_of(self, name: str) -> Address | None:
        """Return a peer's listed address, or else that of its last datagram."""
        peer = self._membership.find(name)
        return (peer.host, peer.port) if peer else self._addresses.get(name)


class _DatagramReceiver(asyncio.DatagramProtocol):
    """Passes datagrams to a callback; ignores errors of single sends."""

    def __init__(self, receive: Callable[[bytes, Address], None]) -> None:
        self._receive = receive

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self._receive(data, addr)


def _ignore_evidence(_: Evidence) -> None:
    """Ignore evidence; for processes that do not judge roll-outs."""


def _now_s() -> float:
    return asyncio.get_running_loop().time()
