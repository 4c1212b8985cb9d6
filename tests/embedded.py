"""A small fleet in one process: stand-ins, sidecars and entries on loopback."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from hashlib import sha256
from random import Random
from typing import Any

from attrs import define, evolve, field

from acaciacove.adapters.http_client import open_client
from acaciacove.entry.running_entry import RunningEntry, running_entry
from acaciacove.fleet.api import Api
from acaciacove.fleet.api_kind import ApiKind
from acaciacove.fleet.call_rule import CallRule
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.instance_status import InstanceStatus
from acaciacove.fleet.organisation import Organisation
from acaciacove.fleet.role import Role
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId
from acaciacove.settings.entry_settings import EntrySettings
from acaciacove.settings.sidecar_settings import SidecarSettings
from acaciacove.sidecar.running_sidecar import RunningSidecar, running_sidecar
from acaciacove.standins.engine_app import build_engine_app
from acaciacove.standins.engine_state import EngineState
from acaciacove.standins.instance_list_app import build_instance_list_app
from acaciacove.standins.instance_list_state import InstanceListState
from acaciacove.standins.log_app import build_log_app
from acaciacove.standins.log_state import LogState
from acaciacove.standins.rating_app import build_rating_app
from acaciacove.standins.rating_state import RatingState
from acaciacove.standins.serve import serve_all
from acaciacove.standins.service_app import build_service_app
from acaciacove.standins.service_state import ServiceState
from acaciacove.standins.weight_store_app import build_weight_store_app
from acaciacove.standins.weight_store_state import WeightStoreState
from acaciacove.state.record import RELEASE_STREAM, Record
from acaciacove.state.record_codec import encode_record
from acaciacove.state.release_note import ReleaseNote

SMALL = VersionId("guide-small", "1")
LARGE = VersionId("guide-large", "1")
BOOKINGS = VersionId("bookings", "1")
TOKEN = "guides-token"
SECRET = "a-secret-for-tests-only-0123456789abcdef"
ZONES = ("ozark", "piedmont", "cumberland", "gulfcoast")
WAIT_TIMEOUT_S = 20.0


def release_note() -> ReleaseNote:
    """Build a note with a model API of two versions and one plain service."""
    digest = sha256(TOKEN.encode()).hexdigest()
    allowed = {"guide-small": ("*",), "guide-large": ("*",), "bookings": ("*",)}
    return ReleaseNote(
        "note-1",
        -1,
        apis=(
            Api("guide", ApiKind.MODEL, 0.5),
            Api("rides", ApiKind.SERVICE, 0.0, (CallRule("POST", "/shuttles"),)),
        ),
        versions=(
            Version(SMALL, "guide", 1.0, 0.7, cold_bears=8, warm_bears=8),
            Version(LARGE, "guide", 10.0, 0.9, cold_bears=8, warm_bears=8),
            Version(BOOKINGS, "rides", 1.0, cold_bears=8, warm_bears=8),
        ),
        organisations=(Organisation("ozark-guides", (digest,), allowed),),
    )


@define(eq=False)
class EmbeddedFleet:
    """Parts of a running fleet that tests inspect and inject faults into."""

    log: LogState
    listing: InstanceListState
    rating: RatingState
    engines: dict[str, EngineState] = field(factory=dict)
    services: dict[str, ServiceState] = field(factory=dict)
    sidecars: dict[str, RunningSidecar] = field(factory=dict)
    sidecar_stacks: dict[str, AsyncExitStack] = field(factory=dict)
    entries: list[RunningEntry] = field(factory=list)
    entry_stacks: list[AsyncExitStack] = field(factory=list)
    instances: dict[str, Instance] = field(factory=dict)
    client: Any = None
    log_url: str = ""
    list_url: str = ""
    rating_url: str = ""
    weights: WeightStoreState = field(factory=WeightStoreState)
    weights_url: str = ""

    def publish(self, record: Record) -> int:
        """Append a record to the release stream."""
        stream = self.log.stream(RELEASE_STREAM)
        return stream.append(encode_record(record), self.log.faults.keep_records)

    def list_instances(self) -> None:
        """Publish the current instances in the platform's instance list."""
        now_s = asyncio.get_running_loop().time()
        self.listing.publish(now_s, tuple(self.instances.values()))

    def mark(self, name: str, status: InstanceStatus) -> None:
        """Set the status of an instance in the platform's instance list."""
        self.instances[name] = evolve(self.instances[name], status=status)
        self.list_instances()

    async def post(self, path: str, body: bytes, entry: int = 0, **headers: str) -> Any:
        """Send a request to an entry as the test's organisation."""
        return await self.request("POST", path, body, entry, **headers)

    async def request(
        self, method: str, path: str, body: bytes = b"", entry: int = 0, **headers: str
    ) -> Any:
        """Send a request; header names are written with underscores."""
        url = f"http://127.0.0.1:{self.entries[entry].http_port}{path}"
        sent = {"Authorization": f"Bearer {TOKEN}"}
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        return await self.client.request(
            url, method=method, headers=sent, data=body or None
        )


@asynccontextmanager
async def embedded_fleet(
    models: int = 2,
    services: int = 2,
    entries: int = 1,
    rated: bool = False,
    weights: bool = False,
    extra: tuple[VersionId, ...] = (),
) -> AsyncIterator[EmbeddedFleet]:
    """Run a fleet until its entries are ready.

    With ``rated``, a rating service gets every answer. With ``weights``, loads wait
    for permits of a weight store. The model endpoints serve the ``extra`` versions in
    addition to the default ones.
    """
    rating = RatingState(Random(1))
    fleet = EmbeddedFleet(LogState(), InstanceListState(), rating)
    for number in range(models):
        served = {str(version) for version in (SMALL, LARGE, *extra)}
        fleet.engines[f"guide-{number}"] = EngineState(served)
    for number in range(services):
        fleet.services[f"bookings-{number}"] = ServiceState()
    apps = [
        build_log_app(fleet.log),
        build_instance_list_app(fleet.listing),
        build_rating_app(fleet.rating),
        build_weight_store_app(fleet.weights),
        *map(build_engine_app, fleet.engines.values()),
        *map(build_service_app, fleet.services.values()),
    ]
    async with serve_all(apps) as ports, AsyncExitStack() as stack:
        urls = [f"http://127.0.0.1:{port}" for port in ports]
        fleet.log_url, fleet.list_url, rating_url, weights_url = urls[:4]
        fleet.weights_url = weights_url if weights else ""
        fleet.rating_url = rating_url if rated else ""
        fleet.client = open_client()
        fleet.publish(release_note())
        names = [*fleet.engines, *fleet.services]
        for index, (name, port) in enumerate(zip(names, ports[4:], strict=True)):
            versions = (BOOKINGS,)
            if name in fleet.engines:
                versions = (SMALL, LARGE, *extra)
            number = index if name in fleet.engines else index - models
            await add_sidecar(fleet, stack, name, ZONES[number % 4], port, versions)
        fleet.list_instances()
        for number in range(entries):
            await add_entry(fleet, stack, f"entry-{number}")
        try:
            yield fleet
        finally:
            fleet.log.faults.outage = False
            stacks = [*fleet.entry_stacks, *fleet.sidecar_stacks.values()]
            await asyncio.gather(*(own_stack.aclose() for own_stack in stacks))
            await fleet.client.aclose()


async def add_sidecar(
    fleet: EmbeddedFleet,
    stack: AsyncExitStack,
    name: str,
    zone: str,
    endpoint_port: int,
    versions: tuple[VersionId, ...],
) -> RunningSidecar:
    """Start the sidecar of an endpoint, with an exit stack that stops only it."""
    settings = SidecarSettings(
        name=name,
        region="south",
        availability_zone=zone,
        host="127.0.0.1",
        http_port=0,
        peer_port=0,
        endpoint_url=f"http://127.0.0.1:{endpoint_port}",
        versions=versions,
        log_url=fleet.log_url,
        instance_list_url=fleet.list_url,
        weight_store_url=fleet.weights_url,
        drain_notice_s=0.0,
        drain_limit_s=5.0,
        seed=1,
    )
    own_stack = await stack.enter_async_context(AsyncExitStack())
    sidecar = await own_stack.enter_async_context(running_sidecar(settings))
    fleet.sidecars[name] = sidecar
    fleet.sidecar_stacks[name] = own_stack
    fleet.instances[name] = Instance(
        name,
        Role.ENDPOINT,
        "south",
        zone,
        "127.0.0.1",
        sidecar.peer_port,
        versions=versions,
    )
    await until(lambda: sidecar.state.lifecycle.accepts_callers)
    return sidecar


async def add_entry(
    fleet: EmbeddedFleet, stack: AsyncExitStack, name: str
) -> RunningEntry:
    """Start an entry and wait until it is ready."""
    settings = EntrySettings(
        name=name,
        region="south",
        availability_zone="ozark",
        host="127.0.0.1",
        http_port=0,
        peer_port=0,
        log_url=fleet.log_url,
        instance_list_url=fleet.list_url,
        rating_url=fleet.rating_url,
        rating_share=1.0,
        session_secret=SECRET,
        drain_notice_s=0.0,
        drain_limit_s=5.0,
        seed=7 + len(fleet.entries),
    )
    own_stack = await stack.enter_async_context(AsyncExitStack())
    entry = await own_stack.enter_async_context(running_entry(settings))
    fleet.entries.append(entry)
    fleet.entry_stacks.append(own_stack)
    fleet.instances[name] = Instance(
        name,
        Role.ENTRY,
        "south",
        "ozark",
        "127.0.0.1",
        entry.peer_port,
    )
    fleet.list_instances()
    await until(lambda: entry.state.lifecycle.accepts_callers)
    return entry


async def until(condition: Any) -> None:
    """Wait for a condition; the timeout only prevents a broken test from hanging."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


def run(test: Any) -> None:
    """Run an async test to its end."""
    asyncio.run(test())
