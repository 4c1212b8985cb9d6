"""Runs non-repeatable calls, each at most once."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from random import Random

from acaciacove.adapters.platform_log import PlatformLog
from acaciacove.adapters.service_answer import ServiceAnswer
from acaciacove.messages.claim_answer import ClaimAnswer
from acaciacove.messages.claim_query import ClaimQuery
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal
from acaciacove.state.claim import Claim
from acaciacove.state.claim_log import ClaimLog
from acaciacove.state.claim_refusals import (
    claim_unavailable,
    in_progress,
    key_expired,
    key_reused,
    outcome_unknown,
)
from acaciacove.state.claim_resolver import ClaimResolver, IsGone, QueryOwner, Result
from acaciacove.state.claim_settings import ClaimSettings
from acaciacove.state.claim_status import ClaimStatus
from acaciacove.state.local_call import LocalCall
from acaciacove.state.log_writer import LogWriter
from acaciacove.state.outcome import Outcome
from acaciacove.state.release import Release

Call = Callable[[], Awaitable[Result]]

CLAIM_ID_BITS = 64


class ClaimOwner:
    """Claims of one sidecar.

    ``query_owner`` sends a query to another sidecar and returns its answer, or None
    if it is unreachable. ``is_gone`` returns whether an incarnation of an instance
    has ended. ``wall_s`` returns Unix time. ``run`` is the task that reads the
    partitions continuously. Claims also work without it, but take longer.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        log: PlatformLog,
        writer: LogWriter,
        settings: ClaimSettings,
        random: Random,
        wall_s: Callable[[], float],
        query_owner: QueryOwner,
        is_gone: IsGone,
    ) -> None:
        """Store the parameters; partitions are read when they are first needed."""
        self._name = name
        self._incarnation = incarnation
        self._settings = settings
        self._random = random
        self._wall_s = wall_s
        self._local_calls: dict[str, LocalCall] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._claims = ClaimLog(log, writer, settings, random)
        self._resolver = ClaimResolver(
            name,
            incarnation,
            self._claims,
            settings,
            wall_s,
            query_owner,
            is_gone,
            lambda key: key in self._local_calls,
        )

    @property
    def running(self) -> int:
        """Return the number of claimed calls in progress."""
        return sum(
            1 for local_call in self._local_calls.values() if not local_call.done.done()
        )

    async def run_once(
        self,
        key: str,
        fingerprint: str,
        deadline_s: float,
        call: Call,
        organisation: str = "",
        issued_s: float | None = None,
    ) -> Result:
        """Return the result of a call that runs at most once in all processes.

        ``key`` and ``fingerprint`` are computed by ``state.claim_key``. ``issued_s``
        is the creation time of the key in Unix time, if known. ``deadline_s`` is a
        time of the event loop. ``call`` makes the call; if it returns a refusal with
        ``not_run``, it must not have sent any byte. A started call is completed and
        recorded even if the caller disconnects. A returned refusal with ``not_run``
        is final: this request will not be run later.
        """
        refusal = self._refuse_by_age(issued_s)
        if refusal is not None:
            return refusal
        loop = asyncio.get_running_loop()
        while True:
            result = await self._run_or_resolve(
                key, fingerprint, deadline_s, call, organisation, issued_s
            )
            if result is not None:
                return result
            if loop.time() >= deadline_s:
                return claim_unavailable(
                    "the key was released too late to claim it anew"
                )

    async def run(self, preferred_partitions: Callable[[], Iterable[int]]) -> None:
        """Read the partitions for which this process is the preferred owner."""
        while True:
            for partition_number in preferred_partitions():
                await self._claims.refresh_partition(partition_number)
            self._claims.remove_expired(self._wall_s())
            self._evict_answers()
            self._claims.submit_pending()
            await asyncio.sleep(self._settings.refresh_s)

    async def finish(self, deadline_s: float) -> bool:
        """Wait for the calls in progress and for their records to be in the log."""
        loop = asyncio.get_running_loop()
        while self._tasks and loop.time() < deadline_s:
            await asyncio.wait(self._tasks, timeout=deadline_s - loop.time())
        return await self._claims.flush(deadline_s) and not self._tasks

    def on_query(self, query: ClaimQuery) -> ClaimAnswer:
        """Answer the query of another sidecar about a claim of this process."""
        local_call = self._local_calls.get(query.key)
        status = ClaimStatus.NOT_HELD if local_call is None else local_call.status
        answer = ServiceAnswer(0)
        if local_call is not None and status is ClaimStatus.DONE:
            result = local_call.done.result()
            assert isinstance(result, ServiceAnswer)
            answer = result
        return ClaimAnswer(
            query_id=query.query_id,
            key=query.key,
            status=status,
            http_status=answer.status,
            headers=answer.headers,
            body=answer.body,
            incarnation=self._incarnation,
        )

    def _refuse_by_age(self, issued_s: float | None) -> Refusal | None:
        """Refuse a key whose earlier use may no longer be recorded."""
        settings = self._settings
        if issued_s is None:
            if settings.dated_keys_only:
                detail = "the key has to be a UUID version 7"
                return Refusal(Reason.KEY_REQUIRED, True, detail)
            return None
        age_s = self._wall_s() - issued_s
        if age_s > settings.window_s:
            return key_expired("the key is past its window")
        if age_s < -settings.clock_error_s:
            return Refusal(Reason.KEY_EXPIRED, True, "the key is from the future")
        return None

    async def _run_or_resolve(
        self,
        key: str,
        fingerprint: str,
        deadline_s: float,
        call: Call,
        organisation: str,
        issued_s: float | None,
    ) -> Result | None:
        """Run, join or look up the call of a key; None if the key was released."""
        local_call = self._local_calls.get(key)
        if local_call is None:
            held = self._claims.holder(key)
            if held is not None:
                return await self._resolver.resolve(held, fingerprint, deadline_s)
            claim = self._new_claim(key, fingerprint, organisation)
            local_call = self._start_call(claim, deadline_s, call, issued_s)
        elif local_call.claim.fingerprint != fingerprint:
            return key_reused()
        return await self._wait_for_call(local_call, deadline_s)

    def _new_claim(self, key: str, fingerprint: str, organisation: str) -> Claim:
        return Claim(
            key=key,
            claim_id=f"{self._name}/{self._incarnation}/{self._random_id()}",
            owner=self._name,
            incarnation=self._incarnation,
            fingerprint=fingerprint,
            at_s=self._wall_s(),
            organisation=organisation,
        )

    def _start_call(
        self, claim: Claim, deadline_s: float, call: Call, issued_s: float | None
    ) -> LocalCall:
        """Claim a key in a separate task, which is not cancelled with the caller."""
        done = asyncio.get_running_loop().create_future()
        local_call = LocalCall(claim, deadline_s, done, issued_s)
        self._local_calls[claim.key] = local_call
        task = asyncio.create_task(self._claim_and_call(local_call, call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return local_call

    async def _wait_for_call(
        self, local_call: LocalCall, deadline_s: float
    ) -> Result | None:
        """Wait for the result of a call of this process until the deadline."""
        timeout_s = deadline_s - asyncio.get_running_loop().time()
        done, _ = await asyncio.wait({local_call.done}, timeout=max(0.0, timeout_s))
        if done:
            return local_call.done.result()
        if local_call.started or local_call.deadline_s > deadline_s:
            return in_progress()
        # At this moment the task of the claim decides whether it still starts the
        # call. Returning "not run" before that decision could turn out to be false.
        return await asyncio.shield(local_call.done)

    async def _claim_and_call(self, local_call: LocalCall, call: Call) -> None:
        """Claim the key, make the call and record its outcome."""
        loop = asyncio.get_running_loop()
        claim_deadline_s = min(
            local_call.deadline_s, loop.time() + self._settings.claim_wait_s
        )
        refusal = await self._claims.append_claim(local_call.claim, claim_deadline_s)
        if refusal is not None:
            self._finish_not_run(local_call, refusal)
            return
        if not self._holds_key(local_call):
            del self._local_calls[local_call.claim.key]
            local_call.done.set_result(None)
            return
        refusal = self._refuse_late_start(local_call) or self._refuse_unknown_history(
            local_call
        )
        if refusal is not None:
            self._claims.record(
                Release(local_call.claim.key, local_call.claim.claim_id)
            )
            self._finish_not_run(local_call, refusal)
            return
        await self._make_call(local_call, call)

    def _holds_key(self, local_call: LocalCall) -> bool:
        held = self._claims.holder(local_call.claim.key)
        return held is not None and held.claim.claim_id == local_call.claim.claim_id

    def _refuse_late_start(self, local_call: LocalCall) -> Refusal | None:
        """Refuse to start a call after its deadline.

        A process can be paused for hours between its claim and this check. No other
        process may run the key, so starting the call would be safe, but its caller
        no longer waits. After the claim window other processes may have removed the
        key. The monotonic clock may stop while a machine is suspended, so the age in
        Unix time is checked too.
        """
        expired = asyncio.get_running_loop().time() >= local_call.deadline_s
        age_s = self._wall_s() - local_call.claim.at_s
        if expired or age_s > self._settings.start_limit_s:
            detail = "the deadline passed before the call was started"
            return Refusal(Reason.DEADLINE_EXCEEDED, True, detail)
        return None

    def _refuse_unknown_history(self, local_call: LocalCall) -> Refusal | None:
        """Refuse a key that may have been claimed in records that have expired."""
        if local_call.issued_s is None:
            return None
        covered_s = self._claims.table(local_call.claim.key).covered_since_s
        if local_call.issued_s + self._settings.clock_error_s >= covered_s:
            return None
        return key_expired("the key is older than the records that the log has kept")

    async def _make_call(self, local_call: LocalCall, call: Call) -> None:
        """Make the call and record its outcome."""
        key, claim_id = local_call.claim.key, local_call.claim.claim_id
        local_call.started = True
        try:
            result = await call()
        except Exception as error:  # noqa: BLE001 - the call may have run
            result = Refusal(Reason.ENDPOINT_FAILED, False, type(error).__name__)
        if isinstance(result, ServiceAnswer):
            local_call.status = ClaimStatus.DONE
            self._claims.record(self._outcome(local_call, result))
            local_call.done.set_result(result)
        elif result.not_run:
            self._claims.record(Release(key, claim_id))
            self._finish_not_run(local_call, result)
        else:
            local_call.status = ClaimStatus.OUTCOME_UNKNOWN
            self._claims.record(Outcome(key, claim_id, known=False))
            local_call.done.set_result(outcome_unknown(result.detail))

    def _outcome(self, local_call: LocalCall, answer: ServiceAnswer) -> Outcome:
        key, claim_id = local_call.claim.key, local_call.claim.claim_id
        if len(answer.body) > self._settings.kept_body_bytes:
            return Outcome(key, claim_id, known=True, status=answer.status)
        return Outcome(
            key, claim_id, True, True, answer.status, answer.headers, answer.body
        )

    def _finish_not_run(self, local_call: LocalCall, refusal: Refusal) -> None:
        """Remove a claim whose call was not run; its task ends, so it never will be."""
        del self._local_calls[local_call.claim.key]
        local_call.done.set_result(refusal)

    def _evict_answers(self) -> None:
        """Remove the oldest answers whose outcomes are in the log."""
        surplus = len(self._local_calls) - self._settings.kept_answers
        for key, local_call in list(self._local_calls.items()):
            if surplus <= 0:
                return
            held = self._claims.holder(key)
            if local_call.done.done() and (held is None or held.outcome is not None):
                del self._local_calls[key]
                surplus -= 1

    def _random_id(self) -> str:
        return f"{self._random.getrandbits(CLAIM_ID_BITS):016x}"
