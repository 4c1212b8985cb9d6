"""The sidecar of a promise run: the real gate, admission, claims and fence."""

import asyncio
from random import Random

from attrs import evolve

from acaciacove.adapters.service_answer import ServiceAnswer
from acaciacove.bench.promise_endpoint import PromiseEndpoint
from acaciacove.bench.promise_process import PromiseProcess
from acaciacove.bench.promise_world import UNIX_S, PromiseWorld
from acaciacove.decisions.admission import AdmissionQueue
from acaciacove.decisions.admission_settings import AdmissionSettings
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.instance_status import InstanceStatus
from acaciacove.fleet.version_id import VersionId, parse_version_id
from acaciacove.messages.claim_answer import ClaimAnswer
from acaciacove.messages.claim_query import ClaimQuery
from acaciacove.messages.run import Run
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal
from acaciacove.sidecar.admission_controller import AdmissionController
from acaciacove.sidecar.attempt_outcome import AttemptOutcome
from acaciacove.sidecar.gate import GateView, refuse_run
from acaciacove.sidecar.ticket import Ticket
from acaciacove.state.billing_price import billing_id
from acaciacove.state.billing_record import BillingRecord
from acaciacove.state.claim_key import claim_key, request_fingerprint
from acaciacove.state.claim_owner import ClaimOwner
from acaciacove.state.claim_settings import ClaimSettings
from acaciacove.state.fence_gate import FenceGate

PARTITIONS = 4
REPORT_S = 0.2


class PromiseSidecar(PromiseProcess):
    """One endpoint's sidecar; ``handle`` is what arrives on a connection."""

    def __init__(
        self, me: Instance, world: PromiseWorld, endpoint: PromiseEndpoint
    ) -> None:
        """Stand beside an endpoint that outlives this process."""
        super().__init__(me, world)
        self.endpoint = endpoint
        self.served = frozenset(me.versions)
        self.admission = AdmissionController(
            AdmissionQueue(AdmissionSettings(token_s=0.001))
        )
        self.gate = FenceGate(lambda: self.fleet_store.state.release_revision)
        self.claims = ClaimOwner(
            me.name,
            me.incarnation,
            self,
            self.writer,
            ClaimSettings(partitions=PARTITIONS),
            Random(f"{world.seed}/{me.name}"),
            lambda: UNIX_S + self.now_s(),
            self._ask,
            self.membership.is_gone,
        )
        self.fleet_store.add_listener(lambda s: self.admission.update(s, self.served))
        self._reported_s = 0.0

    def start(self) -> None:
        """Run the tasks and be reachable."""
        super().start()
        self.spawn(self.claims.run(lambda: range(PARTITIONS)))

    def on_step(self, now_s: float) -> None:
        """Poll the endpoint's report."""
        if now_s - self._reported_s >= REPORT_S:
            self._reported_s = now_s
            self.admission.reported(self.admission.load(), self.endpoint.restarts)

    async def handle(self, run: Run, entry: str) -> ServiceAnswer | Refusal:
        """Answer one attempt of an entry."""
        await self.awake.wait()
        self.in_flight += 1
        try:
            self.on_data(entry, run.revision)
            self.outbox.confirm(run.billed)
            result = await self._attempt(run)
        finally:
            self.in_flight -= 1
        if isinstance(result, ServiceAnswer) and self.world.broken != "billing":
            self.outbox.hold(_bill(run), entry, self.now_s())
        return result

    def order(self, fence: int) -> None:
        """Take an order to the engine."""
        if self.world.broken == "fencing" or self.gate.admit(fence) is None:
            self.endpoint.obey(fence)

    async def _attempt(self, run: Run) -> ServiceAnswer | Refusal:
        refusal = self._refuse(run)
        if refusal is not None:
            return refusal
        if self.world.broken == "ramp":
            return await self._once(run)
        ticket = await self.step(self.admission.admit(run))
        if isinstance(ticket, Refusal):
            return ticket
        return await self._run(run, ticket)

    async def _run(self, run: Run, ticket: Ticket) -> ServiceAnswer | Refusal:
        outcome = AttemptOutcome.INCONCLUSIVE
        try:
            result = self._refuse(run) or await self._once(run)
            if isinstance(result, ServiceAnswer):
                outcome = AttemptOutcome.COMPLETED
            elif not result.not_run:
                outcome = AttemptOutcome.FAILED
        finally:
            self.admission.release(ticket, outcome)
        return result

    async def _once(self, run: Run) -> ServiceAnswer | Refusal:
        """Make the call, through a claim if it may not be repeated."""
        if not run.non_idempotent or self.world.broken == "claims":
            return await self._call(run)
        return await self.claims.run_once(
            claim_key(run.organisation, run.api, run.idempotency_key),
            request_fingerprint(run.method, run.path, run.body),
            self.now_s() + run.deadline_s,
            lambda: self._checked_call(run),
        )

    async def _checked_call(self, run: Run) -> ServiceAnswer | Refusal:
        """Look at the state in force again, since claiming took time."""
        return self._refuse(run) or await self._call(run)

    async def _call(self, run: Run) -> ServiceAnswer | Refusal:
        version = self.fleet_store.state.versions[_version(run)]
        answer = await self.step(self.endpoint.call(run, version))
        echo = answer.body.partition(b":")[0].decode()
        if echo != run.request_id and self.world.broken != "answers":
            return Refusal(Reason.ANSWER_MISMATCH, False, "another request's answer")
        return answer

    def _refuse(self, run: Run) -> Refusal | None:
        if not self.pause_detector.may_decide(self.now_s()):
            return Refusal(Reason.STALE_REVISION, True, "was paused", 0.5)
        drains = self.world.broken == "drain"
        takes_work = drains or self.status is InstanceStatus.LIVE
        view = GateView(
            fleet=self.fleet_in_use(),
            instance=self.me.name,
            availability_zone=self.me.availability_zone,
            served=self.served,
            takes_work=takes_work,
        )
        if self.world.broken == "spread":
            return refuse_run(evolve(run, revision=view.fleet.revision), view)
        return refuse_run(run, view)

    async def _ask(self, owner: str, query: ClaimQuery) -> ClaimAnswer | None:
        network = self.world.network
        await self.step(network.travel())
        other = self.world.processes.get(owner)
        if not isinstance(other, PromiseSidecar) or network.is_cut(self.me.name, owner):
            return None
        await other.awake.wait()
        answer = other.claims.on_query(query)
        await self.step(network.travel())
        return answer

    async def leave(self, limit_s: float) -> None:
        """Finish what runs, bill what is held, and end."""
        deadline_s = self.now_s() + limit_s
        while self.in_flight and self.now_s() < deadline_s:
            await asyncio.sleep(0.05)
        await self.claims.finish(deadline_s)
        self.outbox.append_all(self.now_s())
        await self.writer.flush(deadline_s)


def _version(run: Run) -> VersionId:
    version = parse_version_id(run.version)
    assert version is not None
    return version


def _bill(run: Run) -> BillingRecord:
    request_id = billing_id(
        run.request_id, run.organisation, run.api, run.idempotency_key
    )
    return BillingRecord(
        request_id, run.organisation, run.api, run.version, answered=True, cost=1.0
    )
