"""The two sockets of a process towards its peers, on one port number."""

import socket

from attrs import frozen

TRIES = 50
BACKLOG = 1024


@frozen
class PeerSockets:
    """A listening TCP socket and a UDP socket, bound to the same number."""

    messages: socket.socket
    datagrams: socket.socket
    port: int


def bind_peer_sockets(host: str, port: int) -> PeerSockets:
    """Bind both; port 0 looks for a number that is free for both.

    Raises OSError when the address is taken.
    """
    for _ in range(TRIES):
        messages = socket.create_server((host, port), backlog=BACKLOG)
        messages.setblocking(False)
        bound = messages.getsockname()[1]
        datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        datagrams.setblocking(False)
        try:
            datagrams.bind((host, bound))
        except OSError:
            messages.close()
            datagrams.close()
            if port:
                raise
            continue
        return PeerSockets(messages, datagrams, bound)
    raise OSError(f"no port of {host} is free for both TCP and UDP")
