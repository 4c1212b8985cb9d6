"""The callers of a promise run: what they send, and what they check."""

import asyncio
from collections import Counter, defaultdict

from attrs import define, field

from acaciacove.adapters.service_answer import ServiceAnswer
from acaciacove.bench.promise_entry import PromiseEntry
from acaciacove.bench.promise_fleet import TEAMS, PromiseFleet
from acaciacove.bench.promise_request import PromiseRequest
from acaciacove.bench.promise_world import PromiseWorld
from acaciacove.fleet.version_id import VersionId
from acaciacove.refusal import Refusal
from acaciacove.state.billing_price import billing_id
from acaciacove.state.session_pins import NEW_SESSION

SESSIONS = 12
TRIES = 3
PATIENCE_S = 1.0
BOOKING_SHARE = 0.3
SESSION_SHARE = 0.6
DUPLICATE_SHARE = 0.2


@define
class _Session:
    """What a caller remembers of a session."""

    token: str
    version: VersionId | None = None
    revision: int = 0
    busy: bool = False


@define(eq=False)
class PromiseCallers:
    """Callers with sessions and bookings; ``answered`` maps bill ids to bills due."""

    world: PromiseWorld
    fleet: PromiseFleet
    requests: int = 0
    outcomes: Counter[str] = field(factory=Counter)
    answered: set[str] = field(factory=set)
    not_run_bills: set[str] = field(factory=set)
    _sessions: dict[str, _Session] = field(factory=dict)
    _ids: dict[str, set[str]] = field(factory=lambda: defaultdict(set))
    _bodies: dict[str, bytes] = field(factory=dict)

    async def send(self, number: int) -> None:
        """Send one request, as a caller does: with patience and some retries."""
        rng = self.world.random
        team = rng.choice(TEAMS)
        if rng.random() < BOOKING_SHARE:
            await self._book(number, team)
        elif rng.random() < SESSION_SHARE:
            await self._chat(number, f"s{rng.randrange(SESSIONS)}")
        else:
            await self._ask(PromiseRequest(number, team, "guide"), "")

    async def _book(self, number: int, team: str) -> None:
        """Book a shuttle; an impatient caller asks twice at once."""
        request = PromiseRequest(number, team, "shuttle", key=f"key-{number}")
        tries = [self._book_until_told(request)]
        if self.world.random.random() < DUPLICATE_SHARE:
            tries.append(self._book_until_told(request))
        await asyncio.gather(*tries)

    async def _book_until_told(self, request: PromiseRequest) -> None:
        for _ in range(TRIES):
            if isinstance(await self._ask(request, ""), ServiceAnswer):
                return
            await asyncio.sleep(self.world.random.uniform(0.1, 1.0))

    async def _chat(self, number: int, name: str) -> None:
        """Send a session's next message, if the one before has been answered."""
        carries = int(name[1:]) % 2 == 0
        first = NEW_SESSION if carries else ""
        session = self._sessions.setdefault(name, _Session(first))
        if session.busy:
            return
        session.busy = True
        team = TEAMS[int(name[1:]) % len(TEAMS)]
        request = PromiseRequest(number, team, "guide", name, carries)
        await self._ask(request, session.token, session)
        session.busy = False

    async def _ask(
        self, request: PromiseRequest, token: str, session: _Session | None = None
    ) -> ServiceAnswer | Refusal | None:
        """Send a request once; None when no word came back."""
        entries = self.fleet.open_entries()
        if not entries:
            return None
        entry = self.world.random.choice(entries)
        self.requests += 1
        request_id = f"r{request.number}-{self.requests}"
        self._ids[request.key or request_id].add(request_id)
        revision = entry.fleet_store.revision
        work = entry.spawn(entry.serve(request, request_id, token))
        death = asyncio.create_task(entry.dead.wait())
        timeout_s = request.deadline_s + PATIENCE_S
        await asyncio.wait(
            {work, death}, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        death.cancel()
        if not work.done() or work.cancelled():
            self.outcomes["no word"] += 1
            return None
        result, version = work.result()
        self._take(request, request_id, result)
        if session is not None and isinstance(result, ServiceAnswer):
            zone = entry.me.availability_zone
            now_s = asyncio.get_running_loop().time()
            if not self.world.was_cut(zone, now_s):
                self._check_pin(request, session, version)
            session.version = version
            session.revision = max(0, revision)
            session.token = _token(entry, request, version)
        return result

    def _take(
        self, request: PromiseRequest, request_id: str, result: ServiceAnswer | Refusal
    ) -> None:
        """Check an answer or a refusal that came back."""
        bill = billing_id(request_id, request.organisation, request.api, request.key)
        counts = self.world.counts
        if isinstance(result, ServiceAnswer):
            self.outcomes["answered"] += 1
            self.answered.add(bill)
            own = self._ids[request.key or request_id]
            mine = result.body.decode() in {f"{i}:answer" for i in own}
            same = self._bodies.setdefault(bill, result.body) == result.body
            counts.check("answers", mine and same, request_id)
            return
        if not result.not_run:
            self.outcomes["outcome unknown"] += 1
            return
        self.outcomes["not run"] += 1
        self.world.told_not_run.add(request_id)
        ran = request_id in self.world.ran
        counts.check("not_run", not ran, f"{request_id}: {result.reason}")
        if not request.key:
            self.not_run_bills.add(bill)

    def _check_pin(
        self, request: PromiseRequest, session: _Session, version: VersionId | None
    ) -> None:
        """Check that a session moved only if its version had been stopped."""
        truth = self.world.truth
        truth.refresh()
        before = session.version
        since = truth.states[session.revision :]
        kept = before is None or version == before
        stopped = before is not None and any(
            not s.is_usable(before)
            or not s.organisations[request.organisation].allows(before)
            for s in since
        )
        detail = f"{request.session}: {before} to {version}"
        self.world.counts.check("pins", kept or stopped, detail)


def _token(
    entry: PromiseEntry, request: PromiseRequest, version: VersionId | None
) -> str:
    return entry.token_for(request, version)
