"""Holds the sidecar's copy of a billing record."""

import asyncio
from time import time

from acaciacove.fleet.version_id import parse_version_id
from acaciacove.messages.run import Run
from acaciacove.sidecar.sidecar_state import SidecarState
from acaciacove.sidecar.ticket import Ticket
from acaciacove.state.billing_price import billing_id, price
from acaciacove.state.billing_record import BillingRecord


def hold_billing_copy(
    run: Run, entry: str, sidecar: SidecarState, ticket: Ticket, answered: bool
) -> None:
    """Hold a billing record until the entry has appended its own to the log.

    If the entry is lost first, the sidecar appends this copy in its place. Nothing
    is held for a non-idempotent call without an answer: the process that gets the
    answer makes its record.
    """
    if run.non_idempotent and not answered:
        return
    version = parse_version_id(run.version)
    version_spec = sidecar.fleet_store.state.versions.get(version) if version else None
    if version_spec is None:
        return
    cost = price(version_spec, ticket.prompt_tokens, ticket.tokens) if answered else 0.0
    record = BillingRecord(
        request_id=billing_id(
            run.request_id, run.organisation, run.api, run.idempotency_key
        ),
        organisation=run.organisation,
        api=run.api,
        version=run.version,
        answered=answered,
        cost=cost,
        prompt_tokens=ticket.prompt_tokens,
        completion_tokens=ticket.tokens,
        at_s=time(),
    )
    sidecar.billing.hold(record, entry, asyncio.get_running_loop().time())
