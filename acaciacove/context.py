"""The process environment that is passed to a command."""

import os
import sys
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from datetime import UTC, datetime
from random import Random
from typing import Any, TextIO

from attrs import Factory, define

from acaciacove.adapters.http_client import open_client
from acaciacove.adapters.http_log import HttpLog
from acaciacove.adapters.platform_log import PlatformLog


@asynccontextmanager
async def open_http_client() -> AsyncIterator[Any]:
    """Open an HTTP client for the block, with the few connections a command needs."""
    client = open_client(COMMAND_CONNECTIONS)
    try:
        yield client
    finally:
        await client.connector.cleanup()


@asynccontextmanager
async def open_http_log(url: str) -> AsyncIterator[PlatformLog]:
    """Open the platform's log at an HTTP URL for the block."""
    async with open_http_client() as client:
        yield HttpLog(url.rstrip("/"), client)


def utc_now() -> datetime:
    """Return wall-clock time, for display only and not for decisions."""
    return datetime.now(UTC)


COMMAND_CONNECTIONS = 32
OpenLog = Callable[[str], AbstractAsyncContextManager[PlatformLog]]


@define
class Environment:
    """Streams, environment variables, clock, log and random source of a command.

    Tests replace any of them. ``now`` returns wall-clock time in UTC. ``open_log``
    opens the platform's log at a URL.
    """

    stdin: TextIO = Factory(lambda: sys.stdin)
    stdout: TextIO = Factory(lambda: sys.stdout)
    stderr: TextIO = Factory(lambda: sys.stderr)
    env: Mapping[str, str] = Factory(lambda: os.environ)
    now: Callable[[], datetime] = utc_now
    open_log: OpenLog = open_http_log
    random: Random = Factory(Random)

    @property
    def stdin_isatty(self) -> bool:
        """Return whether standard input is a terminal."""
        return self.stdin.isatty()

    @property
    def stdout_isatty(self) -> bool:
        """Return whether standard output is a terminal."""
        return self.stdout.isatty()

    def print(self, text: str = "") -> None:
        """Write one line to standard output."""
        self.stdout.write(f"{text}\n")

    def log_error(self, text: str) -> None:
        """Write one line to standard error, prefixed with the program's name."""
        self.stderr.write(f"acaciacove: {text}\n")
