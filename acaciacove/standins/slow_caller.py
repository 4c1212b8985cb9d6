"""A stand-in for a caller that sends a request and reads its answer later."""

import asyncio
import contextlib
import socket

from attrs import frozen

# With the segments of an Ethernet network, the kernel buffers about 50 kB of an answer
# for a caller that does not read. With those of the loopback interface it would buffer
# megabytes.
SEGMENT_BYTES = 1_000
RECEIVE_BUFFER_BYTES = 8_192
READ_BYTES = 65_536
RETRY_EVERY_S = 0.1
LAST_CHUNK = b"0\r\n\r\n"


@frozen
class SlowCaller:
    """One connection; nothing is received before ``read_answer``."""

    connection: socket.socket

    async def send(self, request: bytes) -> None:
        """Send a request; a refusal may come before all of it is sent."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(ConnectionError):
            await loop.sock_sendall(self.connection, request)

    async def read_answer(self) -> bytes:
        """Return the bytes of a chunked answer, empty if it is not complete."""
        received = bytearray()
        loop = asyncio.get_running_loop()
        with self.connection:
            while not received.endswith(LAST_CHUNK):
                try:
                    data = await loop.sock_recv(self.connection, READ_BYTES)
                except ConnectionError:
                    return b""
                if not data:
                    return b""
                received += data
        return bytes(received)

    def close(self) -> None:
        """Close the connection."""
        self.connection.close()


async def connect_slow_caller(host: str, port: int, timeout_s: float) -> SlowCaller:
    """Connect as soon as the address accepts connections; raises TimeoutError."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        while True:
            connection = _small_socket()
            try:
                await loop.sock_connect(connection, (host, port))
            except ConnectionRefusedError:
                connection.close()
                await asyncio.sleep(RETRY_EVERY_S)
            else:
                return SlowCaller(connection)


def _small_socket() -> socket.socket:
    """Return a socket for which both kernels buffer little."""
    connection = socket.socket()
    connection.setblocking(False)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return connection
