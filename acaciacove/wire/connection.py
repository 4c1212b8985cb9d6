"""TCP connection between two processes with length-prefixed Cap'n Proto frames."""

from asyncio import (
    IncompleteReadError,
    LimitOverrunError,
    StreamReader,
    StreamWriter,
    open_connection,
    timeout,
)
from collections.abc import Callable, Iterable
from socket import AF_INET, IPPROTO_TCP, TCP_NODELAY

from acaciacove.errors import MalformedMessageError
from acaciacove.messages.message import Message
from acaciacove.wire.codec import decode, encode

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 16 * 2**20
# Once its first byte has arrived, a message must be complete within this time.
FRAME_TIMEOUT_S = 30.0


class Connection:
    """Sends and receives messages; ``receive`` returns None after a disconnect."""

    def __init__(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Use a stream that is already open."""
        self._reader = reader
        self._writer = writer
        # Bytes of the frame that is being received, for errors and log lines.
        self.frame_received_bytes = 0
        # Why ``receive`` returned None, unless the connection ended between two frames.
        self.fault: str | None = None
        _disable_nagle(writer)

    async def send(self, message: Message) -> None:
        """Send one message; raises ConnectionError when the peer has disconnected."""
        await self.send_all((message,))

    async def send_all(self, messages: Iterable[Message]) -> None:
        """Send messages in one write; raises ConnectionError."""
        self.send_nowait(messages)
        await self._writer.drain()

    def send_nowait(self, messages: Iterable[Message]) -> None:
        """Queue messages in one write, without waiting for the peer to read."""
        if self._writer.is_closing():
            raise ConnectionResetError("cannot send messages: the connection is closed")
        self._writer.write(
            b"".join(_add_length_prefix(encode(message)) for message in messages)
        )

    async def receive(
        self,
        on_progress: Callable[[], None] = lambda: None,
        max_bytes: int = MAX_FRAME_BYTES,
    ) -> Message | None:
        """Wait for a message; None after a disconnect, or on a malformed frame.

        ``on_progress`` is called for each part of the message that arrives. ``fault``
        says why there is none if the connection did not end between two frames. A
        message of more than ``max_bytes``, or one that comes too slowly, is a fault.
        """
        self.frame_received_bytes = 0
        self.fault = None
        try:
            first = await self._read_exactly(1, on_progress)
            async with timeout(FRAME_TIMEOUT_S):
                prefix = first + await self._read_exactly(LENGTH_BYTES - 1, on_progress)
                size_bytes = int.from_bytes(prefix, "big")
                if size_bytes > max_bytes:
                    self.fault = f"a frame of {size_bytes} bytes exceeds {max_bytes}"
                    return None
                return decode(await self._read_exactly(size_bytes, on_progress))
        except TimeoutError:
            received_bytes = self.frame_received_bytes
            self.fault = (
                f"{received_bytes} bytes of a frame came within {FRAME_TIMEOUT_S} s"
            )
            return None
        except (IncompleteReadError, LimitOverrunError, OSError):
            if self.frame_received_bytes:
                received_bytes = self.frame_received_bytes
                self.fault = f"the connection ended {received_bytes} bytes into a frame"
            return None
        except MalformedMessageError as error:
            # After malformed bytes the start of the next frame is unknown. Callers
            # drop the connection, so that the following bytes are not misread.
            self.fault = str(error)
            return None

    async def _read_exactly(
        self, size_bytes: int, on_progress: Callable[[], None]
    ) -> bytes:
        """Read this many bytes, and count them as they arrive."""
        chunks: list[bytes] = []
        missing_bytes = size_bytes
        while missing_bytes:
            chunk = await self._reader.read(missing_bytes)
            if not chunk:
                raise IncompleteReadError(b"".join(chunks), size_bytes)
            chunks.append(chunk)
            missing_bytes -= len(chunk)
            self.frame_received_bytes += len(chunk)
            on_progress()
        return b"".join(chunks)

    def close(self) -> None:
        """Close without waiting; ``receive`` of the peer returns None."""
        self._writer.close()


async def connect(host: str, port: int) -> Connection:
    """Open a connection; raises OSError."""
    reader, writer = await open_connection(host, port)
    return Connection(reader, writer)


def _disable_nagle(writer: StreamWriter) -> None:
    """Disable Nagle's algorithm.

    asyncio does so only for sockets that were created with an explicit protocol. A
    small frame would otherwise wait up to 40 ms for an acknowledgement, which
    slows streams down.
    """
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.family == AF_INET:
        connection.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)


def _add_length_prefix(data: bytes) -> bytes:
    return len(data).to_bytes(LENGTH_BYTES, "big") + data
