"""Free loopback addresses."""

import os
import socket

from standins.gateway import (
    CONTROL_PORT,
    FRONT_PORT,
    METRICS_PORT,
    PEER_PORTS,
    READINESS_PORT,
)

USED_PORTS = (
    FRONT_PORT,
    READINESS_PORT,
    CONTROL_PORT,
    METRICS_PORT,
    int(PEER_PORTS.split(",")[0]),
)


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that nobody listens on."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


def free_gateway_host(number: int) -> str:
    """Return a loopback address on which all ports of a gateway are free."""
    for step in range(200):
        host = f"127.{10 + (os.getpid() + step) % 240}.{number + 1}.1"
        if all(_is_free(host, port) for port in USED_PORTS):
            return host
    raise OSError("no loopback address has the ports of a gateway free")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True
