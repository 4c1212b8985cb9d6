"""``python -m acaciacove.platform`` runs one gateway on the users' platform.

The port for callers is opened before anything else is imported. Importing the modules
takes a third of a second of CPU time on a small machine. Callers that connect meanwhile
wait in the kernel's accept queue and are then served. Otherwise their connections would
be refused at every restart.
"""

import signal
import sys

from acaciacove.platform.early_listener import open_front_socket


def main() -> int:
    """Open the port for callers, read the settings, then serve."""
    # Settings that change while the process starts are read again once it has started.
    # Without a handler, the signal would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    front = open_front_socket()
    from acaciacove.platform.run_gateway import run_gateway

    return int(run_gateway(front))


if __name__ == "__main__":
    sys.exit(main())
