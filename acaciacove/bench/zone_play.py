"""Take a zone of a fake fleet out, and bring it back."""

from functools import partial

from attrs import evolve

from acaciacove.bench.fake_entry import FakeEntry
from acaciacove.bench.fake_fleet import FakeFleet

SPREAD_S = 1.0


def play_zone_move(
    fleet: FakeFleet, zone: str, out_at_s: float, in_at_s: float | None
) -> None:
    """Schedule an operator's two decisions; entries learn each within ``SPREAD_S``."""
    _schedule(fleet, out_at_s, frozenset({zone}))
    if in_at_s is not None:
        _schedule(fleet, in_at_s, frozenset())


def _schedule(fleet: FakeFleet, at_s: float, out: frozenset[str]) -> None:
    for number, entry in enumerate(fleet.entries):
        delay_s = SPREAD_S * (number + 1) / len(fleet.entries)
        fleet.events.at(at_s + delay_s, partial(_learn, fleet, entry, out))


def _learn(fleet: FakeFleet, entry: FakeEntry, out: frozenset[str]) -> None:
    entry.fleet = evolve(entry.fleet, availability_zones_out=out)
    entry.zone_moves.update(entry.fleet, fleet.events.now_s)
