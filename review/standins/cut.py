"""A proxy before the store that can be silent, like a partition."""

import asyncio

from standins.record import Record

BLOCK_BYTES = 65_536


class Cut:
    """Passes bytes on in both directions, except while it is cut.

    New connections are accepted while it is cut, as the kernel does it, and get
    nothing. What was sent meanwhile arrives when the cut has healed.
    """

    def __init__(self, record: Record) -> None:
        """Start without a listener, and not cut."""
        self.address = ""
        self._record = record
        self._whole = asyncio.Event()
        self._whole.set()
        self._target = ("", 0)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self, host: str, port: int, to_host: str, to_port: int) -> None:
        """Listen at an address, and pass connections on to another one."""
        self.address = f"{host}:{port}"
        self._target = (to_host, to_port)
        self._server = await asyncio.start_server(self._serve, host, port)

    def cut(self) -> None:
        """Pass nothing on from now on."""
        self._record.write("the gateway is cut off from the store")
        self._whole.clear()

    def heal(self) -> None:
        """Pass everything on again."""
        if not self._whole.is_set():
            self._record.write("the gateway reaches the store again")
        self._whole.set()

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._whole.wait()
            to_reader, to_writer = await asyncio.open_connection(*self._target)
            await asyncio.gather(
                self._pass_on(reader, to_writer), self._pass_on(to_reader, writer)
            )
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(BLOCK_BYTES):
            await self._whole.wait()
            writer.write(data)
            await writer.drain()
        await self._whole.wait()
        writer.close()
