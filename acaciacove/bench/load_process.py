"""A load run in a process of its own, so that callers do not share one core.

Run as ``python -m acaciacove.bench.load_process``: it reads one JSON line of
settings and prints one JSON line, the report.
"""

import asyncio
import sys

import attrs
import orjson

from acaciacove.bench.load_run import run_load
from acaciacove.settings.load_settings import LoadSettings


def main() -> None:
    """Run one load."""
    settings = LoadSettings(**orjson.loads(sys.stdin.readline()))
    report = asyncio.run(run_load(settings))
    print(orjson.dumps(attrs.asdict(report)).decode(), flush=True)


if __name__ == "__main__":
    main()
