"""The TCP and UDP sockets of a process for its peers, on one port number."""

import socket

from attrs import frozen

MAX_BIND_ATTEMPTS = 50
BACKLOG = 1024


@frozen
class PeerSockets:
    """A listening TCP socket and a UDP socket, bound to the same port number."""

    tcp_listener: socket.socket
    udp_socket: socket.socket
    port: int


def bind_peer_sockets(host: str, port: int) -> PeerSockets:
    """Bind both sockets; port 0 selects a port that is free for both.

    Raises OSError when the address is in use.
    """
    for _ in range(MAX_BIND_ATTEMPTS):
        tcp_listener = socket.create_server((host, port), backlog=BACKLOG)
        tcp_listener.setblocking(False)
        bound_port = tcp_listener.getsockname()[1]
        udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        udp_socket.setblocking(False)
        try:
            udp_socket.bind((host, bound_port))
        except OSError:
            tcp_listener.close()
            udp_socket.close()
            if port:
                raise
            continue
        return PeerSockets(tcp_listener, udp_socket, bound_port)
    raise OSError(
        f"{host}: no port free for both TCP and UDP in {MAX_BIND_ATTEMPTS} attempts"
    )
