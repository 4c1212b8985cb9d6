"""Listens on an address of the settings."""

import asyncio
from collections.abc import Callable

LISTEN_BACKLOG = 1024


async def listen(
    address: str, protocol: Callable[[], asyncio.BaseProtocol]
) -> asyncio.Server:
    """Accept connections at an address of the form IP:PORT."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    return await loop.create_server(protocol, host, int(port), backlog=LISTEN_BACKLOG)
