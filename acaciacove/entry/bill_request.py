"""Writes an entry's billing record for a request."""

import asyncio
from time import time

from acaciacove.entry.answer_end import AnswerEnd
from acaciacove.entry.caller_request import CallerRequest
from acaciacove.entry.entry_state import EntryState
from acaciacove.entry.progress import Progress
from acaciacove.messages.billed import Billed
from acaciacove.state.billing_price import billing_id
from acaciacove.state.billing_record import BillingRecord

CONFIRM_INTERVAL_S = 2.0


def bill_request(
    request: CallerRequest, progress: Progress, entry: EntryState, end: AnswerEnd | None
) -> None:
    """Bill a request once, when it has ended; nothing is billed for "not run".

    A request that may have run without a complete answer is recorded at zero cost.
    That record comes first, so the sidecars' copies do not count. A call that may
    not be repeated is billed by its sidecar, which knows whether the call took
    effect. If the entry recorded zero cost first, a booking whose answer reaches the
    caller on a later retry would never be billed.
    """
    unanswered = end is None
    if unanswered and (request.non_idempotent or not progress.may_have_run):
        return
    record = BillingRecord(
        request_id=billing_id(
            request.request_id,
            request.organisation.name,
            request.api.name,
            request.idempotency_key if request.non_idempotent else "",
        ),
        organisation=request.organisation.name,
        api=request.api.name,
        version=str(progress.version),
        answered=end is not None,
        cost=end.cost if end else 0.0,
        prompt_tokens=end.prompt_tokens if end else 0,
        completion_tokens=end.completion_tokens if end else 0,
        at_s=time(),
    )
    entry.billing.bill(
        record, progress.attempted_endpoints, asyncio.get_running_loop().time()
    )


async def send_billing_confirmations(entry: EntryState) -> None:
    """Send confirmed billing records to sidecars that get no request meanwhile."""
    while True:
        await asyncio.sleep(CONFIRM_INTERVAL_S)
        for link in entry.links.values():
            if link.peer is None:
                continue
            request_ids = entry.billing.take_confirmations(link.peer.instance)
            if request_ids:
                link.send_if_open(Billed(request_ids))
