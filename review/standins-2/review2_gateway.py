"""Starts gateways with the command of the deploy file, and ends them by their ids."""

import asyncio
import os
import signal
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

RESTART_AFTER_S = 0.5
INHERITED = ("PATH", "HOME", "LANG")
SETTINGS = """\
nodeName={name}
role=gateway
machineClass=edge
serves=edge
ipAddress={host}
zone={zone}
region=r1
zones.z1=r1
zones.z2=r1
listenAddresses.frontend={host}:8227
listenAddresses.readiness={host}:8220
listenAddresses.controlPlane={host}:8229
internalPortRange=7340,7355
seedNodes={host}:8229
bootstrap=true
failureCounted=false
limits.cpuQuota=0.817
limits.cpuCores=1
limits.memoryLimitMb=300
limits.fileDescriptors=4100
limits.linkBandwidthMbps=1000.0
limits.diskSizeMb=0
discovery=platform
entryPoint=virtual_ip
heartbeatIntervalMs=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,rollout
faultTolerance.machineFailures=1
faultTolerance.zones=1
faultTolerance.regionFailures=0
bounds.seedLagS=3
bounds.addressReuseS=2
bounds.contactTimeoutMs=3000
bounds.ackTimeoutMs=4000
bounds.catchUpS=4
bounds.drainTimeoutMs=2000
bounds.gracePeriodS=8
bounds.lossSlackMs=200
bounds.configPropagationMs=2000
bounds.downgradeSlackMs=250
bounds.maxStretchMs=5000
bounds.revocationStrict=true
bounds.revocationMs=5000
bounds.retryBudgetRatio=0.9
bounds.retryWindowS=10
bounds.retryBudgetExtra=54
bounds.exposureShare=0.15
bounds.exposureTolerance=30
bounds.rollbackMs=5000
bounds.coldOverage=1.5
bounds.coldTolerance=5
bounds.evacuationMs=5000
bounds.recoveryTimeS=12
bounds.eventDelayMs=120
bounds.retryAfterS=8.5
bounds.sessionTtlS=5
platform.address={store}
platform.form=log
platform.writesPerS=400
platform.readsPerS=2000
platform.parts=12
platform.appendLatencyMs=2.0
platform.partitionMbS=20.0
platform.readMbS=80.0
platform.maxRecordBytes=262144
platform.maxCallBytes=2097152
platform.keep_s=300
platform.partitionSizeMb=200
platform.minTtlMs=1000
"""


def run_command() -> list[str]:
    """Return the words of the gateway's command in the deploy file."""
    deploy = tomllib.loads(Path("deploy/system.toml").read_text(encoding="utf-8"))
    return deploy["roles"]["gateway"]["run"].split(" ")


@dataclass
class GatewayProcess:
    """One gateway; it is started again after a short delay when it ends by itself."""

    name: str
    zone: str
    host: str
    store: str
    folder: Path
    exits: list[int] = field(default_factory=list)
    started_s: float = 0.0
    process: asyncio.subprocess.Process | None = None
    _keeper: asyncio.Task[None] | None = None
    is_stopping: bool = False

    @property
    def address(self) -> str:
        """The address for consumers."""
        return f"{self.host}:8227"

    @property
    def log_path(self) -> Path:
        """The file that holds what the process writes."""
        return self.folder / f"{self.name}.log"

    async def start(self) -> None:
        """Start the process and keep it running."""
        path = self.folder / f"{self.name}.conf"
        values = {"name": self.name, "zone": self.zone, "host": self.host}
        path.write_text(SETTINGS.format(store=self.store, **values), encoding="utf-8")
        await self._start_process()
        self._keeper = asyncio.create_task(self._keep())

    async def _start_process(self) -> None:
        words = run_command()
        environment = {n: os.environ[n] for n in INHERITED if n in os.environ}
        environment["PYTHONPATH"] = "target/deps"
        environment["ACACIACOVE_NODE_FILE"] = str(self.folder / f"{self.name}.conf")
        with self.log_path.open("ab") as lines:
            self.process = await asyncio.create_subprocess_exec(
                *words, stdout=lines, stderr=lines, env=environment
            )
        self.started_s = asyncio.get_running_loop().time()

    async def _keep(self) -> None:
        while not self.is_stopping:
            assert self.process is not None
            status = await self.process.wait()
            if self.is_stopping:
                return
            self.exits.append(status)
            await asyncio.sleep(RESTART_AFTER_S)
            await self._start_process()

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self) -> None:
        """Kill the process and wait for its end."""
        self.is_stopping = True
        if self._keeper is not None:
            self._keeper.cancel()
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
