"""Datagram sockets between gateways, by default UDP."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

OnDatagram = Callable[[bytes], None]


class DatagramSocket(Protocol):
    """A datagram socket."""

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Send one datagram; delivery is not guaranteed."""
        ...

    def is_closing(self) -> bool:
        """Return whether the socket is closed or closing."""
        ...

    def close(self) -> None:
        """Close the socket."""
        ...


OpenDatagramSocket = Callable[[str, int, OnDatagram], Awaitable[DatagramSocket]]


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, on_datagram: OnDatagram) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Pass the datagram to the callback."""
        self._on_datagram(data)

    def error_received(self, exc: Exception) -> None:
        """Ignore a refused datagram: a peer that is down is detected by its silence."""


async def open_udp(host: str, port: int, on_datagram: OnDatagram) -> Any:
    """Open a UDP socket that passes each datagram to ``on_datagram``."""
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: _Receiver(on_datagram), local_addr=(host, port)
    )
    return transport
