"""``python -m acaciacove.platform``: one gateway on the users' platform.

The front's port is opened before anything else is imported. Loading the modules
takes a third of a second of a small machine's processor; callers that connect
meanwhile wait in the kernel's queue and are served, where they would otherwise be
turned away by every restart.
"""

import sys

from acaciacove.platform.early_listener import open_front_socket


def main() -> int:
    """Open the front's port, read the settings whole, then serve."""
    front = open_front_socket()
    from acaciacove.platform.run_gateway import run_gateway

    return int(run_gateway(front))


if __name__ == "__main__":
    sys.exit(main())
