"""A few fake sidecars and entries, put together from one settings object."""

from collections.abc import Callable
from random import Random

from attrs import define, field

from acaciacove.bench.event_queue import EventQueue
from acaciacove.bench.fake_engine import FakeEngine
from acaciacove.bench.fake_entry import FakeEntry
from acaciacove.bench.fake_request import FakeRequest
from acaciacove.bench.fake_sidecar import FakeSidecar
from acaciacove.bench.fleet_settings import FleetSettings
from acaciacove.decisions.admission import AdmissionQueue
from acaciacove.decisions.ramp import Ramp
from acaciacove.decisions.subset import choose_subset
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.role import Role
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId

TICK_S = 0.25
PUSH_S = 1.0
VERSION = VersionId("guide", "1")


@define
class FakeFleet:
    """Sidecars and entries in one virtual time."""

    settings: FleetSettings
    events: EventQueue = field(factory=EventQueue)
    sidecars: dict[str, FakeSidecar] = field(factory=dict)
    entries: list[FakeEntry] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Put the parts together."""
        settings = self.settings
        instances = [self._instance(n) for n in range(settings.endpoints)]
        for instance in instances:
            self.sidecars[instance.name] = self._sidecar(instance)
        names = [f"entry-{n}" for n in range(settings.entries)]
        for n, name in enumerate(names):
            subset = choose_subset(name, names, instances, settings.subset_size)
            self.entries.append(self._entry(name, n, subset))

    def play(self, requests: list[FakeRequest], until_s: float) -> None:
        """Serve arrivals at random entries, and run on until all is done."""
        rng = Random(self.settings.seed)
        for request in requests:
            self.events.at(request.arrived_at_s, self._arrival(request, rng))
        self.every(TICK_S, until_s, self._tick)
        self.every(PUSH_S, until_s, self._push)
        self.events.run()

    def every(
        self, period_s: float, until_s: float, callback: Callable[[], None]
    ) -> None:
        """Call back again and again until a time."""

        def again() -> None:
            callback()
            if self.events.now_s < until_s:
                self.events.after(period_s, again)

        self.events.after(period_s, again)

    def _arrival(self, request: FakeRequest, rng: Random) -> Callable[[], None]:
        entry = rng.choice(self.entries)
        return lambda: entry.serve(request)

    def _tick(self) -> None:
        for sidecar in self.sidecars.values():
            sidecar.tick()

    def _push(self) -> None:
        """Report from every sidecar to the entries whose set it is in."""
        made_at_s = self.events.now_s
        loads = {name: sidecar.load() for name, sidecar in self.sidecars.items()}

        def arrive() -> None:
            for entry in self.entries:
                for instance in entry.subset:
                    entry.view(instance).reported(loads[instance.name], made_at_s)

        self.events.after(self.settings.report_lag_s, arrive)

    def _instance(self, number: int) -> Instance:
        zone = self.settings.zones[number % len(self.settings.zones)]
        name = f"{zone}-{number}"
        return Instance(name, Role.ENDPOINT, "region", zone, "127.0.0.1", 1)

    def _sidecar(self, instance: Instance) -> FakeSidecar:
        engine = self.settings.engine
        version = Version(
            VERSION,
            "guide",
            1.0,
            cold_bears=engine.cold_bears,
            warm_bears=engine.warm_bears,
            warm_up_s=engine.warm_up_s,
        )
        ramp = Ramp(version, 0.0, warm=self.settings.warm)
        return FakeSidecar(
            instance,
            FakeEngine(self.events, engine),
            self.events,
            AdmissionQueue(self.settings.admission),
            ramp if self.settings.ramped else None,
            dict(self.settings.weights),
            self.settings.first_come,
        )

    def _entry(self, name: str, number: int, subset: tuple[Instance, ...]) -> FakeEntry:
        return FakeEntry(
            name,
            self.events,
            Random(f"{self.settings.seed}/{number}"),
            self.sidecars,
            subset,
            self.settings.choose,
            report_lag_s=self.settings.report_lag_s,
            settings=self.settings.choice,
        )
