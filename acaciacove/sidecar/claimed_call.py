"""Calls of a plain service that may run at most once."""

import asyncio
from collections.abc import Iterable

from acaciacove.adapters.service_answer import ServiceAnswer
from acaciacove.adapters.service_call import ServiceCall
from acaciacove.daemon.shared_state import SharedState
from acaciacove.fleet.role import Role
from acaciacove.messages.run import Run
from acaciacove.refusal import Refusal
from acaciacove.sidecar.gate import refuse_run
from acaciacove.sidecar.hold_bill import hold_bill
from acaciacove.sidecar.sidecar_state import SidecarState
from acaciacove.sidecar.ticket import Ticket
from acaciacove.state.claim_key import claim_key, key_issued_s, request_fingerprint
from acaciacove.state.rendezvous import CLAIM_PARTITIONS, usual_owner


async def call_once(
    run: Run, entry: str, sidecar: SidecarState, ticket: Ticket, call: ServiceCall
) -> ServiceAnswer | Refusal:
    """Make a call unless its key has been claimed; then answer what became of it.

    The call goes on when the entry that asked for it has gone, so that its outcome
    is recorded and a retry elsewhere gets the answer.
    """
    loop = asyncio.get_running_loop()

    async def checked_call() -> ServiceAnswer | Refusal:
        # Claiming takes a trip to the log or, in a process that was paused on the
        # way, much longer. A withdrawal or a leaving may have come meanwhile.
        refusal = refuse_run(run, sidecar.gate_view())
        if refusal is not None:
            return refusal
        answer = await call_timed(sidecar, ticket, call)
        if isinstance(answer, ServiceAnswer):
            # The entry may be gone by now, and with it the attempt that asked. The
            # booking has taken effect all the same, and nobody else would bill it.
            hold_bill(run, entry, sidecar, ticket, answered=True)
        return answer

    return await sidecar.claims.run_once(
        key=claim_key(run.organisation, run.api, run.idempotency_key),
        fingerprint=request_fingerprint(run.method, run.path, run.body),
        deadline_s=loop.time() + ticket.remaining_s(loop.time()),
        call=checked_call,
        organisation=run.organisation,
        issued_s=key_issued_s(run.idempotency_key),
    )


async def call_timed(
    sidecar: SidecarState, ticket: Ticket, call: ServiceCall
) -> ServiceAnswer | Refusal:
    """Make a call and note how long the service itself took."""
    loop = asyncio.get_running_loop()
    ticket.asked = True
    started_s = loop.time()
    try:
        return await sidecar.service.call(call)
    finally:
        ticket.asked_s = loop.time() - started_s


def usual_claims(shared: SharedState) -> Iterable[int]:
    """List the claim partitions of which this sidecar is the usual owner."""
    if not _serves_claims(shared):
        return
    mine = set(shared.local_instance.versions)
    names = {
        instance.name
        for instance in shared.membership.usable()
        if instance.role is Role.ENDPOINT and mine.intersection(instance.versions)
    }
    names.add(shared.local_instance.name)
    for partition in range(CLAIM_PARTITIONS):
        if usual_owner(partition, names) == shared.local_instance.name:
            yield partition


def _serves_claims(shared: SharedState) -> bool:
    """Tell whether this endpoint serves an API with calls that may not be repeated."""
    fleet = shared.holder.state
    apis = {
        fleet.versions[v].api
        for v in shared.local_instance.versions
        if v in fleet.versions
    }
    return any(fleet.apis[api].non_idempotent for api in apis if api in fleet.apis)
