"""A loopback proxy that delays or discards bytes and resets connections."""

import asyncio
import socket
import struct
from collections.abc import Callable

from acaciacove.soak.link_state import LinkState

CHUNK_BYTES = 65_536
ZERO_LINGER = struct.pack("ii", 1, 0)


class Proxy:
    """Forwards connections of one address to another, with the faults in ``state``."""

    def __init__(self, address: tuple[str, int], target: tuple[str, int]) -> None:
        """Configure forwarding from ``address`` to ``target``, started by ``open``."""
        self.state = LinkState()
        self._address = address
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Start to listen for connections."""
        self._server = await asyncio.start_server(self._forward, *self._address)

    def reset(self) -> None:
        """Reset every connection."""
        for writer in list(self._writers):
            if not writer.is_closing():
                # With a linger time of 0, close sends RST instead of FIN.
                side = writer.get_extra_info("socket")
                side.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
            writer.transport.abort()

    def stop_listening(self) -> None:
        """Refuse new connections; the open ones end in order, as their targets do."""
        if self._server is not None:
            self._server.close()

    def close(self) -> None:
        """Stop listening, and reset the open connections."""
        self.stop_listening()
        self.reset()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, target_writer}
        self._writers |= pair
        try:
            await asyncio.gather(
                self._copy(reader, target_writer, lambda: self.state.up_silent),
                self._copy(target_reader, writer, lambda: self.state.down_silent),
            )
        except OSError:
            # One side has closed its connection: the other is aborted below.
            pass
        finally:
            self._writers -= pair
            for side in pair:
                side.transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_silent: Callable[[], bool],
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.state.delay_s:
                await asyncio.sleep(self.state.delay_s)
            if is_silent():
                continue
            writer.write(data)
            await writer.drain()
        writer.write_eof()
