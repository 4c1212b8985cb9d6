"""Datagrams between gateways."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

OnDatagram = Callable[[bytes], None]


class DatagramSocket(Protocol):
    """A socket for datagrams."""

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Send one datagram; it may be lost."""
        ...

    def is_closing(self) -> bool:
        """Tell whether the socket is closed."""
        ...

    def close(self) -> None:
        """Close the socket."""
        ...


OpenDatagramSocket = Callable[[str, int, OnDatagram], Awaitable[DatagramSocket]]


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, take: OnDatagram) -> None:
        self._take = take

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Hand on what came."""
        self._take(data)

    def error_received(self, exc: Exception) -> None:
        """Leave a refused datagram: its receiver is down, and says so by silence."""


async def open_udp(host: str, port: int, take: OnDatagram) -> Any:
    """Open a UDP socket that hands each datagram to ``apply``."""
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: _Receiver(take), local_addr=(host, port)
    )
    return transport
