"""Claimed call of this process."""

import asyncio

from attrs import define

from acaciacove.adapters.service_answer import ServiceAnswer
from acaciacove.refusal import Refusal
from acaciacove.state.claim import Claim
from acaciacove.state.claim_status import ClaimStatus


@define(eq=False)
class LocalCall:
    """Claim of this process and the state of its call.

    ``done`` is the answer or refusal; None if another claim holds the key.
    """

    claim: Claim
    deadline_s: float
    done: "asyncio.Future[ServiceAnswer | Refusal | None]"
    issued_s: float | None = None
    status: ClaimStatus = ClaimStatus.RUNNING
    started: bool = False
