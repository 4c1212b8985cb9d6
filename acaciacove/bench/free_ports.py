"""Ports for processes that have to know them before they start."""

import socket

LOOPBACK = "127.0.0.1"


def free_ports(count: int) -> list[int]:
    """Find ports that nothing listens on just now."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for listener in sockets:
            listener.bind((LOOPBACK, 0))
        return [listener.getsockname()[1] for listener in sockets]
    finally:
        for listener in sockets:
            listener.close()
