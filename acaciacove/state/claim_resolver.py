"""Resolves retries of calls that were claimed before by any process."""

import asyncio
from collections.abc import Awaitable, Callable

from acaciacove.adapters.service_answer import ServiceAnswer
from acaciacove.messages.claim_answer import ClaimAnswer
from acaciacove.messages.claim_query import ClaimQuery
from acaciacove.refusal import Refusal
from acaciacove.state.claim import Claim
from acaciacove.state.claim_log import ClaimLog
from acaciacove.state.claim_refusals import (
    answer_not_retained,
    claim_unavailable,
    in_progress,
    key_expired,
    key_reused,
    outcome_unknown,
)
from acaciacove.state.claim_settings import ClaimSettings
from acaciacove.state.claim_status import ClaimStatus
from acaciacove.state.held_claim import HeldClaim
from acaciacove.state.outcome import Outcome

Result = ServiceAnswer | Refusal
QueryOwner = Callable[[str, ClaimQuery], Awaitable[ClaimAnswer | None]]
IsGone = Callable[[str, int], bool]

MIN_POLL_S = 0.001


class ClaimResolver:
    """Finds the result of a claim in the log or at its owner.

    ``has_local_call`` returns whether this process has a call for a key, running or
    answered.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        claims: ClaimLog,
        settings: ClaimSettings,
        wall_s: Callable[[], float],
        query_owner: QueryOwner,
        is_gone: IsGone,
        has_local_call: Callable[[str], bool],
    ) -> None:
        """Store the parameters."""
        self._name = name
        self._incarnation = incarnation
        self._claims = claims
        self._settings = settings
        self._wall_s = wall_s
        self._query_owner = query_owner
        self._is_gone = is_gone
        self._has_local_call = has_local_call
        self._query_count = 0

    async def resolve(
        self, held: HeldClaim, fingerprint: str, deadline_s: float
    ) -> Result | None:
        """Return the result for a retry; None if the key was released."""
        claim = held.claim
        if claim.fingerprint != fingerprint:
            return key_reused()
        if self._wall_s() - claim.at_s > self._settings.window_s:
            return key_expired("the key is past its window")
        loop = asyncio.get_running_loop()
        while True:
            current = self._claims.holder(claim.key)
            if current is None or current.claim.claim_id != claim.claim_id:
                return None
            result = await self._find_result(current)
            if result is not None:
                return result
            remaining_s = deadline_s - loop.time()
            if remaining_s <= 0.0:
                return self._refuse_unresolved(current)
            await asyncio.sleep(
                max(MIN_POLL_S, min(self._settings.poll_s, remaining_s))
            )
            await self._claims.read_to_end(claim.key)

    def _refuse_unresolved(self, held: HeldClaim) -> Refusal:
        """Refuse a retry whose result was not found by the deadline."""
        if self._is_abandoned(held):
            return claim_unavailable(
                "the release of an earlier claim is not in the log yet"
            )
        return in_progress()

    def _is_local(self, claim: Claim) -> bool:
        return (claim.owner, claim.incarnation) == (self._name, self._incarnation)

    def _is_abandoned(self, held: HeldClaim) -> bool:
        """Return whether this process claimed the key and will never run its call."""
        no_local_call = not self._has_local_call(held.claim.key)
        return self._is_local(held.claim) and held.outcome is None and no_local_call

    async def _find_result(self, held: HeldClaim) -> Result | None:
        """Return the result of a claim that is in the log; None if not yet known."""
        claim, outcome = held.claim, held.outcome
        if outcome is not None and not outcome.known:
            return outcome_unknown("the endpoint gave no answer")
        if outcome is not None and outcome.answer_kept:
            return await self._claims.read_answer(held)
        if self._is_local(claim):
            return None if outcome is None else answer_not_retained()
        answer = None
        if claim.owner != self._name:
            answer = await self._send_query(claim)
        if answer is not None and answer.incarnation == claim.incarnation:
            return self._result_from_owner(answer, outcome)
        owner_ended = answer is not None or self._is_gone(
            claim.owner, claim.incarnation
        )
        if owner_ended and not await self._outcome_changed(held):
            return outcome_unknown("the owner of the call is gone")
        return None

    def _result_from_owner(
        self, answer: ClaimAnswer, outcome: Outcome | None
    ) -> Result | None:
        match answer.status:
            case ClaimStatus.DONE:
                return ServiceAnswer(answer.http_status, answer.headers, answer.body)
            case ClaimStatus.OUTCOME_UNKNOWN:
                return outcome_unknown("the endpoint gave no answer")
            case ClaimStatus.NOT_HELD if outcome is not None:
                return answer_not_retained()
        return None

    async def _outcome_changed(self, held: HeldClaim) -> bool:
        """Read the log again, since an ended owner may have appended an outcome."""
        previous_outcome = held.outcome
        if not await self._claims.read_to_end(held.claim.key):
            return False
        current = self._claims.holder(held.claim.key)
        return current is not held or current.outcome is not previous_outcome

    async def _send_query(self, claim: Claim) -> ClaimAnswer | None:
        self._query_count += 1
        query_id = f"{self._name}/{self._incarnation}/{self._query_count}"
        try:
            async with asyncio.timeout(self._settings.claim_wait_s):
                return await self._query_owner(
                    claim.owner, ClaimQuery(query_id, claim.key)
                )
        except TimeoutError:
            return None
