"""The operators of a promise run: releases, zones, quarantines, and races."""

import asyncio
from contextlib import suppress

from acaciacove.bench.promise_fleet import GUIDES, TEAMS, ZONES, guide_version
from acaciacove.bench.promise_world import PromiseWorld
from acaciacove.errors import PlatformUnavailableError
from acaciacove.fleet.organisation import Organisation
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId
from acaciacove.state.quarantine_record import QuarantineRecord
from acaciacove.state.record import RELEASE_STREAM, Record
from acaciacove.state.record_codec import encode_record
from acaciacove.state.release_note import ReleaseNote
from acaciacove.state.zone_decision import ZoneDecision

TRIES = 5
PAUSE_S = 0.7
RACE_SHARE = 0.3


class PromiseOperators:
    """Change what is in force at random, and always leave something to serve."""

    def __init__(self, world: PromiseWorld) -> None:
        """Start without having decided anything."""
        self._world = world
        self._random = world.random
        self._number = 0

    async def act(self) -> None:
        """Make one change; at times two operators make theirs at once."""
        changes = [self._change()]
        if self._random.random() < RACE_SHARE:
            changes.append(self._change())
        await asyncio.gather(*(self._append(change) for change in changes))

    async def bring_zones_in(self) -> None:
        """Bring back every zone that is out."""
        for zone in sorted(self._world.truth.state.availability_zones_out):
            await self._append(ZoneDecision(self._id(), zone, False))

    async def _append(self, record: Record) -> None:
        """Append until a reply comes; copies of a record change nothing."""
        for _ in range(TRIES):
            with suppress(PlatformUnavailableError):
                await self._world.log.append(RELEASE_STREAM, encode_record(record))
                return
            await asyncio.sleep(PAUSE_S)

    def _change(self) -> Record:
        choice = self._random.randrange(4)
        if choice == 0:
            return self._zone()
        if choice == 1:
            return self._team()
        return self._version()

    def _zone(self) -> Record:
        out = sorted(self._world.truth.state.availability_zones_out)
        if out:
            return ZoneDecision(self._id(), out[0], False)
        return ZoneDecision(self._id(), self._random.choice(ZONES), True)

    def _team(self) -> Record:
        """Allow a team all versions, or only one of them."""
        name = self._random.choice(TEAMS)
        guides = self._random.choice(["*", "*", *(v.version for v in GUIDES)])
        team = Organisation(name, allowed={"guide": (guides,), "shuttle": ("*",)})
        return self._note(organisations=(team,))

    def _version(self) -> Record:
        """Stop a guide version if another one is left, or declare one anew."""
        state = self._world.truth.state
        usable = [v for v in GUIDES if state.is_usable(v)]
        stopped = [v for v in GUIDES if not state.is_usable(v)]
        if stopped and (len(usable) < 2 or self._random.random() < 0.4):
            return self._note(versions=(guide_version(self._random.choice(stopped)),))
        version = self._random.choice(usable)
        if self._random.random() < 0.3:
            return QuarantineRecord(version, "bad answers")
        return self._note(withdrawn=(version,))

    def _note(
        self,
        versions: tuple[Version, ...] = (),
        withdrawn: tuple[VersionId, ...] = (),
        organisations: tuple[Organisation, ...] = (),
    ) -> ReleaseNote:
        base = self._world.truth.state.release_revision
        return ReleaseNote(
            self._id(),
            base,
            versions=versions,
            withdrawn=withdrawn,
            organisations=organisations,
        )

    def _id(self) -> str:
        self._number += 1
        return f"operator-{self._number}"
