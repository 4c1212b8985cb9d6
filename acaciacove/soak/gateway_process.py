"""One gateway in a separate process, started as in a deployment."""

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
    """Starts, signals and stops the process, and writes its output to a log file.

    ``is_stop_expected`` is set when the soak itself has killed or stopped it.
    """

    settings: GatewaySettings
    folder: Path
    is_stop_expected: bool = False
    unexpected_exits: int = 0
    process: asyncio.subprocess.Process | None = None
    _exit_task: asyncio.Task[None] | None = field(default=None)

    @property
    def log_path(self) -> Path:
        """Path of the log file, which is kept across restarts."""
        return self.folder / f"{self.settings.name}.log"

    async def start(self) -> None:
        """Start a new process with these settings."""
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
        """Return whether the process has been started and has not exited."""
        return self.process is not None and self.process.returncode is None

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process; do nothing if it has exited."""
        if self.is_running:
            assert self.process is not None
            self.process.send_signal(signal_number)

    async def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        self.is_stop_expected = True
        self.send(signal.SIGKILL)
        if self._exit_task is not None:
            await self._exit_task

    async def terminate(self, grace_s: float) -> None:
        """Stop it as the platform does: SIGTERM, then SIGKILL after ``grace_s``."""
        self.is_stop_expected = True
        self.send(signal.SIGTERM)
        assert self._exit_task is not None
        done, _ = await asyncio.wait({self._exit_task}, timeout=grace_s)
        if not done:
            await self.kill()
