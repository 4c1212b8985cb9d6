"""A network of datagrams inside one event loop."""

import asyncio
from random import Random

from attrs import define, field

from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.metadata_log import MetadataLog
from acaciacove.gateway.peers.datagrams import DatagramSocket, OnDatagram
from acaciacove.gateway.peers.serve_peers import serve_peers

TRAVEL_S = 0.001


@define(eq=False)
class DatagramNetwork:
    """Carries datagrams, loses ``loss`` of them, and all between ``cut`` hosts."""

    loss: float = 0.0
    cut: set[str] = field(factory=set)
    random: Random = field(factory=lambda: Random(1))
    _takers: dict[tuple[str, int], OnDatagram] = field(factory=dict)

    async def open(self, host: str, port: int, take: OnDatagram) -> DatagramSocket:
        """Open a socket."""
        self._takers[(host, port)] = take
        return _Socket(self, host, port)

    def carry(self, sender: str, data: bytes, address: tuple[str, int]) -> None:
        """Deliver one datagram after its travel, or lose it."""
        if sender in self.cut or address[0] in self.cut:
            return
        if self.random.random() < self.loss:
            return
        take = self._takers.get(address)
        if take is not None:
            asyncio.get_running_loop().call_later(TRAVEL_S, take, data)

    def close(self, host: str, port: int) -> None:
        """Close a socket."""
        self._takers.pop((host, port), None)

    async def talk(self, gateway: Gateway, metadata: MetadataLog) -> None:
        """Run the reports of one gateway over this network."""
        await serve_peers(gateway, metadata, self.open)


@define(eq=False)
class _Socket:
    network: DatagramNetwork
    host: str
    port: int
    closed: bool = False

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Send one datagram."""
        self.network.carry(self.host, data, address)

    def is_closing(self) -> bool:
        """Tell whether the socket is closed."""
        return self.closed

    def close(self) -> None:
        """Close the socket."""
        self.closed = True
        self.network.close(self.host, self.port)
