"""Entry point of ``acaciacove`` and ``python -m acaciacove``."""

import sys

from acaciacove.context import Environment
from acaciacove.core import main as run


def main() -> int:
    """Run the command given by the process's arguments."""
    return int(run(sys.argv[1:], Environment()))


if __name__ == "__main__":
    sys.exit(main())
