"""Calls of a plain service that are made at most once, guarded by a claim."""

import asyncio
from collections.abc import Iterable

from acaciacove.adapters.service_answer import ServiceAnswer
from acaciacove.adapters.service_call import ServiceCall
from acaciacove.daemon.shared_state import SharedState
from acaciacove.fleet.role import Role
from acaciacove.messages.run import Run
from acaciacove.refusal import Refusal
from acaciacove.sidecar.gate import refuse_run
from acaciacove.sidecar.hold_billing_copy import hold_billing_copy
from acaciacove.sidecar.sidecar_state import SidecarState
from acaciacove.sidecar.ticket import Ticket
from acaciacove.state.claim_key import claim_key, key_issued_s, request_fingerprint
from acaciacove.state.rendezvous import CLAIM_PARTITIONS, preferred_owner


async def call_at_most_once(
    run: Run, entry: str, sidecar: SidecarState, ticket: Ticket, call: ServiceCall
) -> ServiceAnswer | Refusal:
    """Make a call, or return the outcome of an earlier call with the same key.

    The call continues after the requesting entry has disconnected. Its outcome is
    then recorded, and a retry through another entry gets the answer.
    """
    loop = asyncio.get_running_loop()

    async def checked_call() -> ServiceAnswer | Refusal:
        # Claiming takes one log round trip, or much longer if this process was
        # paused. The version may have been withdrawn or a drain begun meanwhile.
        refusal = refuse_run(run, sidecar.gate_view())
        if refusal is not None:
            return refusal
        answer = await timed_service_call(sidecar, ticket, call)
        if isinstance(answer, ServiceAnswer):
            # The entry may have disconnected, which cancels its attempt. The call
            # has taken effect, and no other process would bill it.
            hold_billing_copy(run, entry, sidecar, ticket, answered=True)
        return answer

    return await sidecar.claims.run_once(
        key=claim_key(run.organisation, run.api, run.idempotency_key),
        fingerprint=request_fingerprint(run.method, run.path, run.body),
        deadline_s=loop.time() + ticket.remaining_s(loop.time()),
        call=checked_call,
        organisation=run.organisation,
        issued_s=key_issued_s(run.idempotency_key),
    )


async def timed_service_call(
    sidecar: SidecarState, ticket: Ticket, call: ServiceCall
) -> ServiceAnswer | Refusal:
    """Make a call and record how long the service took."""
    loop = asyncio.get_running_loop()
    ticket.endpoint_called = True
    started_s = loop.time()
    try:
        return await sidecar.service.call(call)
    finally:
        ticket.service_call_s = loop.time() - started_s


def preferred_claim_partitions(shared: SharedState) -> Iterable[int]:
    """Yield the claim partitions of which this sidecar is the preferred owner."""
    if not _serves_non_idempotent_calls(shared):
        return
    local_versions = set(shared.local_instance.versions)
    candidates = {
        instance.name
        for instance in shared.membership.usable()
        if instance.role is Role.ENDPOINT
        and local_versions.intersection(instance.versions)
    }
    candidates.add(shared.local_instance.name)
    for partition in range(CLAIM_PARTITIONS):
        if preferred_owner(partition, candidates) == shared.local_instance.name:
            yield partition


def _serves_non_idempotent_calls(shared: SharedState) -> bool:
    """Return whether this endpoint serves an API with non-idempotent calls."""
    fleet = shared.fleet_store.state
    apis = {
        fleet.versions[v].api
        for v in shared.local_instance.versions
        if v in fleet.versions
    }
    return any(fleet.apis[api].non_idempotent for api in apis if api in fleet.apis)
