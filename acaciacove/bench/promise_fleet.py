"""The fleet of a promise run: what is deployed, and how processes come and go."""

import asyncio
from collections.abc import Sequence

from attrs import evolve

from acaciacove.bench.promise_endpoint import PromiseEndpoint
from acaciacove.bench.promise_entry import PromiseEntry
from acaciacove.bench.promise_process import PromiseProcess
from acaciacove.bench.promise_sidecar import PromiseSidecar
from acaciacove.bench.promise_world import PromiseWorld
from acaciacove.fleet.api import Api
from acaciacove.fleet.api_kind import ApiKind
from acaciacove.fleet.call_rule import CallRule
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.instance_status import InstanceStatus
from acaciacove.fleet.organisation import Organisation
from acaciacove.fleet.role import Role
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId
from acaciacove.state.release_note import ReleaseNote

ZONES = ("ozark", "piedmont", "gulfcoast")
GUIDES = tuple(VersionId("guide", n) for n in ("1", "2", "3"))
SHUTTLE = VersionId("shuttle", "1")
TEAMS = ("north", "south", "west")
RESTART_S = 1.0
LEAVE_LIMIT_S = 6.0
NOTICE_PEERS = 8
BUSY_POLLS = 40


def guide_version(version: VersionId) -> Version:
    """Return a guide model's version as it is declared."""
    cost = 1.0 + int(version.version)
    return Version(
        version, "guide", cost, 0.9, cold_bears=2, warm_bears=6, warm_up_s=4.0
    )


def first_note() -> ReleaseNote:
    """Return the release that a run starts on."""
    rule = CallRule("POST", "/")
    apis = (
        Api("guide", ApiKind.MODEL, 0.5),
        Api("shuttle", ApiKind.SERVICE, 0.0, (rule,)),
    )
    shuttle = Version(
        SHUTTLE, "shuttle", 1.0, 0.9, cold_bears=2, warm_bears=6, warm_up_s=4.0
    )
    teams = tuple(
        Organisation(t, allowed={"guide": ("*",), "shuttle": ("*",)}) for t in TEAMS
    )
    versions = (guide_version(GUIDES[0]), guide_version(GUIDES[1]), shuttle)
    return ReleaseNote("first", -1, apis=apis, versions=versions, organisations=teams)


class PromiseFleet:
    """Entries and sidecars by name; instances keep their names over restarts."""

    def __init__(self, world: PromiseWorld) -> None:
        """Deploy two entries and two endpoints of each API in every zone."""
        self.world = world
        self.endpoints: dict[str, PromiseEndpoint] = {}
        self.busy: set[str] = set()
        self._instances: dict[str, Instance] = {}
        for zone in ZONES:
            self._deploy(f"entry-{zone}", Role.ENTRY, zone, ())
            self._deploy(f"guide-{zone}", Role.ENDPOINT, zone, GUIDES)
            self._deploy(f"shuttle-{zone}", Role.ENDPOINT, zone, (SHUTTLE,))
        world.listed = self.listed

    def listed(self) -> list[Instance]:
        """Return the platform's list, which says nothing of what happens."""
        return list(self._instances.values())

    def start_all(self) -> None:
        """Start every process."""
        for name in self._instances:
            self.start(name)

    def names(self, role: Role) -> list[str]:
        """List the instances of a role."""
        return [n for n, i in self._instances.items() if i.role is role]

    def processes(self) -> list[PromiseProcess]:
        """List the processes that run."""
        return list(self.world.processes.values())

    def open_entries(self) -> list[PromiseEntry]:
        """List the entries to which the balancer sends callers."""
        return [
            p
            for p in self.processes()
            if isinstance(p, PromiseEntry) and p.status is InstanceStatus.LIVE
        ]

    def idle(self, names: Sequence[str]) -> list[str]:
        """List instances to which nothing else is being done."""
        return [n for n in names if n in self.world.processes and n not in self.busy]

    def start(self, name: str) -> None:
        """Start a process anew under its name."""
        now_s = asyncio.get_running_loop().time()
        incarnation = int(now_s * 1000) + 1
        me = evolve(self._instances[name], incarnation=incarnation)
        process: PromiseProcess
        if me.role is Role.ENTRY:
            process = PromiseEntry(me, self.world)
        else:
            endpoint = self.endpoints[name]
            endpoint.leaving_since_s = None
            process = PromiseSidecar(me, self.world, endpoint)
        self.world.processes[name] = process
        process.start()

    async def kill(self, name: str) -> None:
        """Kill a process; a new one starts a little later."""
        self.world.processes.pop(name).kill()
        await asyncio.sleep(RESTART_S)
        self.start(name)

    async def pause(self, name: str, seconds: float) -> None:
        """Stop a process and let it go on."""
        process = self.world.processes[name]
        process.pause()
        await asyncio.sleep(seconds)
        process.wake()

    async def leave(self, name: str) -> None:
        """Ask a process to stop while it works, and see that nothing is cut."""
        process = self.world.processes[name]
        for _ in range(BUSY_POLLS):
            if process.in_flight:
                break
            await asyncio.sleep(0.02)
        now_s = asyncio.get_running_loop().time()
        if name in self.endpoints:
            self.endpoints[name].leaving_since_s = now_s
        process.status = InstanceStatus.LEAVING
        if self.world.broken != "shutdown":
            peers = process.membership.peers()
            process.send_all(
                process.release_gossip.announce_status(peers, NOTICE_PEERS)
            )
            await process.leave(LEAVE_LIMIT_S)
            await asyncio.sleep(max(0.0, now_s + LEAVE_LIMIT_S - process.now_s()))
        cut = process.in_flight
        self.world.counts.check("shutdown", cut == 0, f"{name} cut {cut}")
        await self.kill(name)

    def _deploy(
        self, name: str, role: Role, zone: str, versions: tuple[VersionId, ...]
    ) -> None:
        instance = Instance(
            name, role, "south", zone, "127.0.0.1", 1, 0, versions=versions
        )
        self._instances[name] = instance
        if role is Role.ENDPOINT:
            self.endpoints[name] = PromiseEndpoint(instance, self.world)
