"""One gateway as a process of its own, as it is deployed."""

import asyncio
import os
import signal
import sys
from pathlib import Path

from attrs import define, field

from acaciacove.platform.early_listener import NODE_FILE_VARIABLE
from acaciacove.platform.node_file_writer import write_node_file
from acaciacove.settings.gateway_settings import GatewaySettings

PROGRAM = "acaciacove.platform"


@define(eq=False)
class GatewayProcess:
    """Starts, signals and ends the process; its lines go to a file of its own.

    ``is_stop_expected`` tells that the soak itself has ended or stopped it.
    """

    settings: GatewaySettings
    folder: Path
    is_stop_expected: bool = False
    unexpected_exits: int = 0
    process: asyncio.subprocess.Process | None = None
    _exit_task: asyncio.Task[None] | None = field(default=None)

    @property
    def log_path(self) -> Path:
        """Where the process's lines are kept, over all its lives."""
        return self.folder / f"{self.settings.name}.log"

    async def start(self) -> None:
        """Start it anew."""
        path = self.folder / f"{self.settings.name}.conf"
        path.write_text(write_node_file(self.settings), encoding="utf-8")
        environment = os.environ | {NODE_FILE_VARIABLE: str(path)}
        with self.log_path.open("ab") as lines:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                PROGRAM,
                stdout=lines,
                stderr=lines,
                env=environment,
            )
        self.is_stop_expected = False
        self._exit_task = asyncio.create_task(self._record_exit(self.process))

    async def _record_exit(self, process: asyncio.subprocess.Process) -> None:
        await process.wait()
        if not self.is_stop_expected:
            self.unexpected_exits += 1

    @property
    def is_running(self) -> bool:
        """Tell whether the process has been started and has not ended."""
        return self.process is not None and self.process.returncode is None

    def send(self, number: signal.Signals) -> None:
        """Signal this one process; nothing happens if it has ended."""
        if self.is_running:
            assert self.process is not None
            self.process.send_signal(number)

    async def kill(self) -> None:
        """End it at once and wait for its end."""
        self.is_stop_expected = True
        self.send(signal.SIGKILL)
        if self._exit_task is not None:
            await self._exit_task

    async def terminate(self, grace_s: float) -> None:
        """Stop it as the platform does: SIGTERM, and SIGKILL after the grace."""
        self.is_stop_expected = True
        self.send(signal.SIGTERM)
        assert self._exit_task is not None
        done, _ = await asyncio.wait({self._exit_task}, timeout=grace_s)
        if not done:
            await self.kill()
