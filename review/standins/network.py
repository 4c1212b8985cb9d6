"""Free loopback addresses."""

import random
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


def free_gateway_host() -> str:
    """Return a loopback address on which all ports of a gateway are free.

    It is drawn, so that two runs at the same time don't take the same one.
    """
    for _ in range(200):
        numbers = [str(random.randint(10, 240)) for _ in range(3)]
        host = ".".join(["127", *numbers])
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
