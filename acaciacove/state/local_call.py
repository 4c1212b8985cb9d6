"""A claim of this process and the call that it is for."""

import asyncio

from attrs import define

from acaciacove.adapters.service_answer import ServiceAnswer
from acaciacove.refusal import Refusal
from acaciacove.state.claim import Claim
from acaciacove.state.claim_status import ClaimStatus


@define(eq=False)
class LocalCall:
    """``done`` holds the answer or refusal, or None when the claim was lost."""

    claim: Claim
    deadline_s: float
    done: "asyncio.Future[ServiceAnswer | Refusal | None]"
    issued_s: float | None = None
    status: ClaimStatus = ClaimStatus.RUNNING
    started: bool = False
