"""The program ``acaciacove`` and ``python -m acaciacove``."""

import sys

from acaciacove.context import Environment
from acaciacove.core import main as run


def main() -> int:
    """Run the command that the process was started with."""
    return int(run(sys.argv[1:], Environment()))


if __name__ == "__main__":
    sys.exit(main())
