"""Opens the port for callers with as few imports as can be."""

import os
import socket

NODE_FILE_VARIABLE = "ACACIACOVE_NODE_FILE"
DEFAULT_PATH = "/etc/acaciacove/boot.conf"
FRONT_ADDRESS_FIELD = "listenAddresses.frontend"
# Connections that wait while the process starts, and in bursts; beyond it the
# first packet of a connection is dropped and sent again a second later.
BACKLOG = 1024


def node_file_path() -> str:
    """Return where the platform puts the settings of this process."""
    return os.environ.get(NODE_FILE_VARIABLE) or DEFAULT_PATH


def open_front_socket() -> socket.socket | None:
    """Listen on the front's address; None when that cannot be done yet.

    Whatever is wrong with the settings is told later, with all other faults, by
    the part of the program that reads them whole.
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
