"""Opens the port for callers with as few imports as possible."""

import os
import socket

NODE_FILE_VARIABLE = "ACACIACOVE_NODE_FILE"
DEFAULT_PATH = "/etc/acaciacove/boot.conf"
FRONT_ADDRESS_FIELD = "listenAddresses.frontend"
# Connections that can wait in the accept queue while the process starts and in bursts.
# When it is full, the kernel drops a connection's SYN, which is resent a second later.
BACKLOG = 1024


def node_file_path() -> str:
    """Return the path of this process's settings file."""
    return os.environ.get(NODE_FILE_VARIABLE) or DEFAULT_PATH


def open_front_socket() -> socket.socket | None:
    """Listen on the address for callers; returns None if that is not possible.

    Faults in the settings are not reported here. ``read_node_file`` reads the complete
    file later and reports all of them together.
    """
    try:
        with open(node_file_path(), encoding="utf-8") as lines:
            fields = dict(line.strip().split("=", 1) for line in lines if "=" in line)
        host, _, port = fields[FRONT_ADDRESS_FIELD].rpartition(":")
        front = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        front.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        front.bind((host, int(port)))
        front.listen(BACKLOG)
    except (OSError, KeyError, ValueError):
        return None
    front.setblocking(False)
    return front
