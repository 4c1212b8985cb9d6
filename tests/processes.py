"""Fleet of daemons in separate processes, with stand-ins in the test process."""

import asyncio
import os
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

from attrs import define, field

from acaciacove.adapters.http_client import open_client
from acaciacove.bench.free_ports import free_ports
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.role import Role
from acaciacove.standins.instance_list_app import build_instance_list_app
from acaciacove.standins.instance_list_state import InstanceListState
from acaciacove.standins.log_app import build_log_app
from acaciacove.standins.log_state import LogState
from acaciacove.standins.serve import serve_all
from acaciacove.standins.service_app import build_service_app
from acaciacove.standins.service_state import ServiceState
from acaciacove.state.record import RELEASE_STREAM
from acaciacove.state.record_codec import encode_record
from tests.embedded import BOOKINGS, TOKEN, ZONES, release_note

ROOT = Path(__file__).parent.parent
START_TIMEOUT_S = 60.0


@define(eq=False)
class ProcessFleet:
    """A fleet of processes; ``services`` count the effects of bookings."""

    log: LogState
    services: dict[str, ServiceState]
    daemons: dict[str, asyncio.subprocess.Process] = field(factory=dict)
    http_ports: dict[str, int] = field(factory=dict)
    client: object = None

    @property
    def effects(self):
        total = {}
        for service in self.services.values():
            for key, count in service.effects_by_key.items():
                total[key] = total.get(key, 0) + count
        return total

    async def book(self, entry, key):
        """Send one booking; None when the entry did not answer."""
        url = f"http://127.0.0.1:{self.http_ports[entry]}/services/rides/shuttles"
        headers = {
            "Authorization": f"Bearer {TOKEN}",
            "Idempotency-Key": key,
            "X-Timeout-S": "4",
        }
        try:
            async with asyncio.timeout(8):
                response = await self.client.request(
                    url, method="POST", headers=headers, data=b'{"reference": "b"}'
                )
                return response.status_code, await response.content()
        except Exception:  # noqa: BLE001 - the test may have killed the entry
            return None

    def kill(self, name):
        self.daemons[name].kill()

    def pause(self, name):
        self.daemons[name].send_signal(signal.SIGSTOP)

    def resume(self, name):
        self.daemons[name].send_signal(signal.SIGCONT)


@asynccontextmanager
async def running_processes(
    sidecars: int = 3, entries: int = 2
) -> AsyncIterator[ProcessFleet]:
    """Start processes and wait until the entries are ready."""
    names = [f"bookings-{n}" for n in range(sidecars)]
    fleet = ProcessFleet(LogState(), {name: ServiceState() for name in names})
    listing = InstanceListState()
    apps = [build_log_app(fleet.log), build_instance_list_app(listing)]
    apps += [build_service_app(state) for state in fleet.services.values()]
    async with serve_all(apps) as ports, AsyncExitStack() as stack:
        urls = [f"http://127.0.0.1:{port}" for port in ports]
        stream = fleet.log.stream(RELEASE_STREAM)
        stream.append(encode_record(release_note()), fleet.log.faults.keep_records)
        entry_names = [f"entry-{n}" for n in range(entries)]
        free_port_iterator = iter(free_ports(2 * (sidecars + entries)))
        instances = []
        commands = {}
        for index, name in enumerate(names + entry_names):
            role = "entry" if name in entry_names else "sidecar"
            http_port, peer_port = next(free_port_iterator), next(free_port_iterator)
            fleet.http_ports[name] = http_port
            zone = ZONES[index % len(ZONES)]
            flags = {
                "name": name,
                "region": "south",
                "availability_zone": zone,
                "host": "127.0.0.1",
                "http_port": http_port,
                "peer_port": peer_port,
                "log_url": urls[0],
                "instance_list_url": urls[1],
                "drain_notice_s": 0,
            }
            if role == "sidecar":
                flags["endpoint_url"] = urls[2 + index]
                flags["versions"] = str(BOOKINGS)
            commands[name] = [role, *(f"--{key}={v}" for key, v in flags.items())]
            instances.append(
                Instance(
                    name,
                    Role.ENTRY if role == "entry" else Role.ENDPOINT,
                    "south",
                    zone,
                    "127.0.0.1",
                    peer_port,
                    versions=(BOOKINGS,) if role == "sidecar" else (),
                )
            )
        listing.publish(asyncio.get_running_loop().time(), tuple(instances))
        for name, command in commands.items():
            fleet.daemons[name] = await _start_process(stack, command)
        fleet.client = await stack.enter_async_context(open_client())
        for name in fleet.daemons:
            await _wait_until_ready(fleet, name)
        yield fleet


async def _start_process(stack, command):
    """Start a process that is killed by its process object when the test ends."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "acaciacove",
        *command,
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.DEVNULL,
    )
    stack.push_async_callback(_end_process, process)
    return process


async def _end_process(process):
    if process.returncode is None:
        process.send_signal(signal.SIGCONT)
        process.kill()
    await process.wait()


async def _wait_until_ready(fleet, name):
    url = f"http://127.0.0.1:{fleet.http_ports[name]}/ready"
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            try:
                response = await fleet.client.request(url, method="GET")
                await response.content()
                if response.status_code == 200:
                    return
            except Exception:  # noqa: BLE001 - the process does not listen yet
                pass
            await asyncio.sleep(0.05)
