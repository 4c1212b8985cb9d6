"""Starts a gateway with the command of the deploy file, and signals it."""

import asyncio
import os
import signal
import tomllib
from pathlib import Path

from standins.http1 import BrokenMessageError, read_message, write_message

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 15.0
# The ports of the settings file on the page on deployment; each gateway has a host of
# its own.
FRONT_PORT, READINESS_PORT, CONTROL_PORT = 8227, 8220, 8229
PEER_PORTS = "7340,7355"
METRICS_PORT = 9464
SETTINGS = """\
role=gateway
machineClass=edge
serves=edge
region=dixie
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
bounds.retryBudgetExtra=52
bounds.exposureShare=0.15
bounds.exposureTolerance=30
bounds.rollbackMs=5000
bounds.coldOverage=1.5
bounds.coldTolerance=5
bounds.evacuationMs=5000
bounds.recoveryTimeS=12
bounds.eventDelayMs=120
bounds.retryAfterS=8
bounds.sessionTtlS=5
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


class Gateway:
    """One gateway process on a loopback address of its own."""

    def __init__(
        self, name: str, host: str, zones: list[str], store: str, folder: Path
    ) -> None:
        """Write the settings file; the gateway is in the first of ``zones``."""
        self.name = name
        self.host = host
        self._folder = folder
        self._settings = folder / f"{name}.conf"
        lines = [
            f"nodeName={name}",
            f"ipAddress={host}",
            f"zone={zones[0]}",
            *(f"zones.{zone}=dixie" for zone in zones),
            f"listenAddresses.frontend={host}:{FRONT_PORT}",
            f"listenAddresses.readiness={host}:{READINESS_PORT}",
            f"listenAddresses.controlPlane={host}:{CONTROL_PORT}",
            f"internalPortRange={PEER_PORTS}",
            f"seedNodes={host}:{CONTROL_PORT}",
            f"platform.address={store}",
        ]
        text = SETTINGS + "\n".join(lines) + "\n"
        self._settings.write_text(text, encoding="utf-8")
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process as the deploy file says."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["ACACIACOVE_NODE_FILE"] = str(self._settings)
        with (self._folder / f"{self.name}.log").open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=output, stderr=output
            )

    async def wait_until_ready(self) -> None:
        """Wait until the readiness question is answered with 200."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self._is_ready():
                await asyncio.sleep(0.05)

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(self.host, READINESS_PORT)
            start = "GET /-/readiness HTTP/1.1"
            writer.write(write_message(start, {"Host": self.host}))
            answer = await read_message(reader, is_response=True)
            writer.close()
        except (OSError, BrokenMessageError):
            return False
        return answer is not None and answer.start.split()[1] == "200"

    @property
    def is_running(self) -> bool:
        """Return whether the process has been started and has not ended."""
        return self.process is not None and self.process.returncode is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process, if it still runs."""
        if self.process is None:
            return
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
