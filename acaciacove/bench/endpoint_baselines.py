"""Simple rules for the choice of an endpoint, to compare with."""

from collections.abc import Mapping

from acaciacove.bench.fake_entry import Choose, FakeEntry
from acaciacove.bench.fake_request import FakeRequest
from acaciacove.bench.fake_sidecar import FakeSidecar
from acaciacove.fleet.instance import Instance


def _usable(entry: FakeEntry, excluded: set[str]) -> list[Instance]:
    out = entry.fleet.availability_zones_out
    return [
        i
        for i in entry.subset
        if i.availability_zone not in out and i.name not in excluded
    ]


def round_robin() -> Choose:
    """Take each endpoint in turn, every entry from a place of its own."""
    turns: dict[str, int] = {}

    def choose(entry: FakeEntry, _: FakeRequest, excluded: set[str]) -> Instance | None:
        usable = _usable(entry, excluded)
        if not usable:
            return None
        turn = turns.get(entry.name, entry.rng.randrange(len(usable)))
        turns[entry.name] = turn + 1
        return usable[turn % len(usable)]

    return choose


def least_reported(
    entry: FakeEntry, _: FakeRequest, excluded: set[str]
) -> Instance | None:
    """Take the endpoint whose last report was the emptiest."""

    def reported(instance: Instance) -> tuple[int, float]:
        load = entry.view(instance).load
        return (load.in_flight + load.queued, entry.rng.random())

    return min(_usable(entry, excluded), key=reported, default=None)


def shortest_queue(
    entry: FakeEntry, _: FakeRequest, excluded: set[str]
) -> Instance | None:
    """Take the endpoint that has least right now, of all: perfect knowledge."""
    sidecars: Mapping[str, FakeSidecar] = entry.sidecars
    out = entry.fleet.availability_zones_out

    def at_endpoint(sidecar: FakeSidecar) -> tuple[float, float]:
        load = sidecar.load()
        on_the_way = sidecar.expected
        total = load.in_flight + load.queued + on_the_way
        return (total / max(1, load.limit), entry.rng.random())

    usable = [
        s
        for s in sidecars.values()
        if s.instance.availability_zone not in out and s.instance.name not in excluded
    ]
    best = min(usable, key=at_endpoint, default=None)
    return None if best is None else best.instance
