"""A simulated datagram network inside one event loop."""

import asyncio
from random import Random

from attrs import define, field

from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.metadata_log import MetadataLog
from acaciacove.gateway.peers.datagrams import DatagramSocket, OnDatagram
from acaciacove.gateway.peers.serve_peers import serve_peers

LATENCY_S = 0.001


@define(eq=False)
class DatagramNetwork:
    """Delivers datagrams; drops a share ``loss`` and those of ``isolated_hosts``."""

    loss: float = 0.0
    isolated_hosts: set[str] = field(factory=set)
    random: Random = field(factory=lambda: Random(1))
    _receivers: dict[tuple[str, int], OnDatagram] = field(factory=dict)

    async def open(
        self, host: str, port: int, on_datagram: OnDatagram
    ) -> DatagramSocket:
        """Open a socket that passes received datagrams to ``on_datagram``."""
        self._receivers[(host, port)] = on_datagram
        return _Socket(self, host, port)

    def deliver(self, sender: str, data: bytes, address: tuple[str, int]) -> None:
        """Deliver one datagram after the latency, or drop it."""
        if sender in self.isolated_hosts or address[0] in self.isolated_hosts:
            return
        if self.random.random() < self.loss:
            return
        on_datagram = self._receivers.get(address)
        if on_datagram is not None:
            asyncio.get_running_loop().call_later(LATENCY_S, on_datagram, data)

    def close(self, host: str, port: int) -> None:
        """Close a socket."""
        self._receivers.pop((host, port), None)

    async def serve_gossip(self, gateway: Gateway, metadata: MetadataLog) -> None:
        """Serve the gossip of one gateway over this network."""
        await serve_peers(gateway, metadata, self.open)


@define(eq=False)
class _Socket:
    network: DatagramNetwork
    host: str
    port: int
    closed: bool = False

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Send one datagram."""
        self.network.deliver(self.host, data, address)

    def is_closing(self) -> bool:
        """Return whether the socket is closed."""
        return self.closed

    def close(self) -> None:
        """Close the socket."""
        self.closed = True
        self.network.close(self.host, self.port)
