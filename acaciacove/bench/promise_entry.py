"""The entry of a promise run: the real choices, pins, and billing."""

import asyncio

from acaciacove.adapters.service_answer import ServiceAnswer
from acaciacove.bench.promise_network import ConnectionLostError
from acaciacove.bench.promise_process import PromiseProcess
from acaciacove.bench.promise_request import PromiseRequest
from acaciacove.bench.promise_sidecar import PARTITIONS, PromiseSidecar
from acaciacove.bench.promise_world import PromiseWorld
from acaciacove.decisions.plan_cache import PlanCache
from acaciacove.decisions.quality_estimates import QualityEstimates
from acaciacove.decisions.version_choice import choose_version
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.instance_status import InstanceStatus
from acaciacove.fleet.role import Role
from acaciacove.fleet.version_id import VersionId
from acaciacove.messages.run import Run
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal
from acaciacove.state.billing_price import billing_id
from acaciacove.state.billing_record import BillingRecord
from acaciacove.state.claim_key import claim_key
from acaciacove.state.rendezvous import partition_of, rank_owners
from acaciacove.state.session_pins import NEW_SESSION, SessionPins

MAX_ATTEMPTS = 3
SECRET = "shared by all entries"


class PromiseEntry(PromiseProcess):
    """One entry; ``serve`` answers a caller."""

    def __init__(self, me: Instance, world: PromiseWorld) -> None:
        """Start with nothing but a name."""
        super().__init__(me, world)
        self.pins = SessionPins((SECRET,))
        self.plans = PlanCache(QualityEstimates(me.name))
        self.membership.set_watched(())

    def on_step(self, now_s: float) -> None:
        """Watch the endpoints for silence."""
        usable = self.membership.peers()
        self.membership.set_watched(i.name for i in usable if i.role is Role.ENDPOINT)

    async def serve(
        self, request: PromiseRequest, request_id: str, token: str
    ) -> tuple[ServiceAnswer | Refusal, VersionId | None]:
        """Answer a caller, with the version that answered."""
        await self.awake.wait()
        self.in_flight += 1
        asked: list[str] = []
        try:
            result, version = await self._serve(request, request_id, token, asked)
        finally:
            self.in_flight -= 1
        answered = isinstance(result, ServiceAnswer)
        # A booking without an answer is left to its sidecar, which alone knows
        # whether it took effect: a record of "nothing owed" would come first, and
        # the retry that gets the booking's answer would never be billed.
        unanswered = isinstance(result, Refusal) and not result.not_run
        if answered or (unanswered and not request.key):
            self._bill(request, request_id, version, result, asked)
        return result, version

    async def leave(self, limit_s: float) -> None:
        """Finish what runs, bill it, and end."""
        deadline_s = self.now_s() + limit_s
        while self.in_flight and self.now_s() < deadline_s:
            await asyncio.sleep(0.05)
        self.outbox.append_all(self.now_s())
        await self.writer.flush(deadline_s)

    async def _serve(
        self, request: PromiseRequest, request_id: str, token: str, asked: list[str]
    ) -> tuple[ServiceAnswer | Refusal, VersionId | None]:
        deadline_s = self.now_s() + request.deadline_s
        may_have_run = False
        version: VersionId | None = None
        result: Refusal = Refusal(Reason.NO_ENDPOINT, True)
        for attempt in range(1, MAX_ATTEMPTS + 1):
            chosen = self._choose(request, token, asked)
            if isinstance(chosen, Refusal):
                result = chosen
                break
            version, endpoint = chosen
            asked.append(endpoint.name)
            run = self._run(
                request, request_id, attempt, version, endpoint.name, deadline_s
            )
            outcome = await self._ask(endpoint, run, deadline_s)
            if isinstance(outcome, ServiceAnswer):
                return outcome, version
            result = outcome
            may_have_run |= not outcome.not_run
            repeatable = outcome.not_run or not request.key
            if not repeatable or self.now_s() >= deadline_s:
                break
        not_run = result.not_run and not may_have_run
        if self.world.broken == "not_run":
            not_run = True
        return Refusal(result.reason, not_run, result.detail), version

    def _choose(
        self, request: PromiseRequest, token: str, asked: list[str]
    ) -> tuple[VersionId, Instance] | Refusal:
        """Choose version and endpoint, or refuse."""
        if not self.pause_detector.may_decide(self.now_s()):
            return Refusal(Reason.STALE_REVISION, True, "was paused")
        if self.status is not InstanceStatus.LIVE or not self.outbox.has_room:
            return Refusal(Reason.NOT_READY, True)
        fleet = self.fleet_in_use()
        team, api = fleet.organisations.get(request.organisation), fleet.apis
        if team is None or request.api not in api:
            return Refusal(Reason.UNKNOWN_ORGANISATION, True)
        pinned = self.pins.pinned_version(
            fleet, team, api[request.api], request.session, token
        )
        if self.world.broken == "pins":
            pinned = None
        decision = choose_version(
            fleet,
            team,
            api[request.api],
            "chat",
            self.plans,
            self.random,
            pinned=pinned,
            session=request.session if self.world.broken != "pins" else "",
        )
        if isinstance(decision, Refusal):
            return decision
        version = decision.version
        usable = self.world.listed() if self._drains() else self.membership.usable()
        serving = [
            i
            for i in usable
            if version in i.versions
            and i.name not in asked
            and i.availability_zone not in fleet.availability_zones_out
        ]
        if not serving:
            return Refusal(Reason.NO_ENDPOINT, True, str(version))
        return version, self._endpoint(request, serving)

    def _drains(self) -> bool:
        return self.world.broken == "drain"

    def _endpoint(self, request: PromiseRequest, serving: list[Instance]) -> Instance:
        """Choose at random, or the usual owner of a key."""
        if not request.key:
            return self.random.choice(serving)
        key = claim_key(request.organisation, request.api, request.key)
        partition = partition_of(key, PARTITIONS)
        first = rank_owners(partition, [i.name for i in serving])[0]
        return next(i for i in serving if i.name == first)

    def _run(
        self,
        request: PromiseRequest,
        request_id: str,
        attempt: int,
        version: VersionId,
        endpoint: str,
        deadline_s: float,
    ) -> Run:
        return Run(
            request_id=request_id,
            attempt=attempt,
            revision=self.fleet_store.revision,
            organisation=request.organisation,
            api=request.api,
            version=str(version),
            session=request.session,
            idempotency_key=request.key,
            deadline_s=max(0.0, deadline_s - self.now_s()),
            non_idempotent=bool(request.key),
            billed=self.outbox.take_confirmations(endpoint),
        )

    async def _ask(
        self, endpoint: Instance, run: Run, deadline_s: float
    ) -> ServiceAnswer | Refusal:
        """Send an attempt and wait for its answer."""
        try:
            async with asyncio.timeout_at(deadline_s + 0.25):
                return await self.step(self._call(endpoint, run))
        except TimeoutError:
            return Refusal(Reason.DEADLINE_EXCEEDED, False)
        except ConnectionLostError as error:
            if not error.sent:
                self.membership.record_connect_failure(endpoint.name, self.now_s())
            return Refusal(Reason.CONNECTION_LOST, not error.sent)

    async def _call(self, endpoint: Instance, run: Run) -> ServiceAnswer | Refusal:
        """Make one call over a connection that may break at any moment."""
        network = self.world.network
        await network.travel()
        sidecar = self.world.processes.get(endpoint.name)
        if not isinstance(sidecar, PromiseSidecar) or sidecar.dead.is_set():
            raise ConnectionLostError(sent=False)
        if network.is_cut(self.me.name, endpoint.name):
            raise ConnectionLostError(sent=False)
        work = sidecar.spawn(sidecar.handle(run, self.me.name))
        result = await _unless_dead(work, sidecar.dead)
        await network.travel()
        if network.random.random() < network.broken:
            raise ConnectionLostError(sent=True)
        if isinstance(result, Refusal):
            incarnation = sidecar.me.incarnation
            self.membership.record_refusal(
                endpoint.name, incarnation, result.reason, self.now_s()
            )
        return result

    def _bill(
        self,
        request: PromiseRequest,
        request_id: str,
        version: VersionId | None,
        result: ServiceAnswer | Refusal,
        asked: list[str],
    ) -> None:
        record = BillingRecord(
            billing_id(request_id, request.organisation, request.api, request.key),
            request.organisation,
            request.api,
            str(version),
            answered=isinstance(result, ServiceAnswer),
            cost=1.0,
        )
        self.outbox.bill(record, asked, self.now_s())

    def token_for(self, request: PromiseRequest, version: VersionId | None) -> str:
        """Return the token that goes back to the caller."""
        if version is None or not request.carries_token:
            return NEW_SESSION if request.carries_token else ""
        return self.pins.issue(
            request.organisation, request.api, request.session, version
        )


async def _unless_dead(
    work: "asyncio.Task[ServiceAnswer | Refusal]", dead: asyncio.Event
) -> ServiceAnswer | Refusal:
    """Wait for an answer, or for the end of the process that makes it."""
    death = asyncio.create_task(dead.wait())
    try:
        await asyncio.wait({work, death}, return_when=asyncio.FIRST_COMPLETED)
    finally:
        death.cancel()
    if work.done() and not work.cancelled():
        return work.result()
    raise ConnectionLostError(sent=True)
