"""Refuses requests that crash endpoints and shares new evidence with peers.

A request has several keys: its fingerprint, and those of what it shares with others.
"""

import asyncio
import math
import time
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable, Sequence
from random import Random

from attrs import define, field

from acaciacove.decisions.clearances import CLEARED_RETENTION_S
from acaciacove.decisions.crash_key import is_shared
from acaciacove.decisions.request_assessment import RequestAssessment
from acaciacove.decisions.request_quarantine import (
    QUARANTINE_DURATION_S,
    RequestQuarantine,
)
from acaciacove.decisions.request_status import RequestStatus
from acaciacove.gateway.catalogue.endpoint import Endpoint
from acaciacove.gateway.endpoint_states import incarnation_id
from acaciacove.gateway.event_log import EventLog
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.quarantine.request_fingerprint import format_fingerprint
from acaciacove.gateway.quarantine.request_record import RequestRecord
from acaciacove.gateway.quarantine.trial_taken_error import TrialTakenError
from acaciacove.messages.crash_seen import CrashSeen
from acaciacove.messages.request_news import RequestNews
from acaciacove.messages.request_verdict import CLEARED, QUARANTINED, RequestVerdict
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal

# Requests lost by this gateway in crashes; the oldest are evicted first.
MAX_LOST_REQUESTS = 1024
# More suspects do not fit into one datagram; those with the most crashes are sent.
MAX_SUSPECTS_PER_UPDATE = 64
# Requests whose last logged status is remembered.
MAX_LOGGED_STATUSES = 4096
# Competing claims of other gateways arrive within this time.
CLAIM_SETTLE_S = 0.01
CLAIM_BITS = 32
# Records waiting to be written to the log; beyond this the oldest are dropped.
MAX_PENDING_RECORDS = 256

SendUpdate = Callable[[RequestNews], None]


def ignore_update(update: RequestNews) -> None:
    """Drop an update; the default until the peer network is connected."""


@define(eq=False)
class RequestGuard:
    """One gateway's quarantine, with its updates to peers and records for the log.

    ``send_update`` sends an update to a subset of peers, ``broadcast_update`` to all.
    ``pending_records`` holds the newest record of each request that has to be written
    to the log, or None if its record has to be removed.
    """

    log: EventLog
    quarantine: RequestQuarantine = field(factory=RequestQuarantine)
    send_update: SendUpdate = ignore_update
    broadcast_update: SendUpdate = ignore_update
    random: Random = field(factory=Random)
    pending_records: OrderedDict[int, RequestRecord | None] = field(factory=OrderedDict)
    has_pending_records: asyncio.Event = field(factory=asyncio.Event)
    _lost_locally: OrderedDict[int, None] = field(factory=OrderedDict)
    _logged: OrderedDict[int, RequestStatus] = field(factory=OrderedDict)
    _claims: dict[int, int] = field(factory=dict)

    def record_crash(
        self, endpoint: Endpoint, suspects: list[int], now_s: float
    ) -> None:
        """Record the requests that were lost when an endpoint crashed."""
        for fingerprint in suspects:
            self._claims.pop(fingerprint, None)
            self._lost_locally[fingerprint] = None
        while len(self._lost_locally) > MAX_LOST_REQUESTS:
            self._lost_locally.popitem(last=False)
        incarnation = incarnation_id(endpoint)
        new = self.quarantine.record_crash(incarnation, suspects, now_s)
        if new:
            verdicts = self._report_changes(new, now_s)
            crash = CrashSeen(incarnation, tuple(new[:MAX_SUSPECTS_PER_UPDATE]))
            self.send_update(RequestNews((crash,), verdicts))

    def assess(self, keys: Sequence[int], now_s: float) -> RequestAssessment:
        """Return whether a request with these keys may be sent, and log changes."""
        found = self.quarantine.assess(keys, now_s)
        if found.status is not RequestStatus.FREE:
            # Something shared becomes suspect as time passes, not by an update.
            self._report_changes([found.key], now_s)
        return found

    def refusal_for(self, found: RequestAssessment, now_s: float) -> Refusal | None:
        """Return why a request is not sent now, or None if it may be."""
        if found.status in (RequestStatus.FREE, RequestStatus.TRIAL):
            return None
        detail = "endpoints crash when they run this request"
        if found.status is RequestStatus.WAITING:
            detail = "it is being tried whether this request crashes endpoints"
        after_s = self.quarantine.retry_after_s(found.key, now_s)
        return Refusal(Reason.REQUEST_QUARANTINED, True, detail, after_s)

    async def acquire_trial(self, fingerprint: int, endpoint: Endpoint) -> None:
        """Acquire the one trial of a suspected key; peers wait for its result.

        Raises TrialTakenError if another request or gateway already has the trial or
        wins it with a competing claim.
        """
        now_s = asyncio.get_running_loop().time()
        status = self.quarantine.status(fingerprint, now_s)
        if status is not RequestStatus.TRIAL:
            raise TrialTakenError(
                f"request {format_fingerprint(fingerprint)} has no trial available"
            )
        claim = self.random.getrandbits(CLAIM_BITS)
        incarnation = incarnation_id(endpoint)
        verdict = self.quarantine.trials.claim(fingerprint, incarnation, claim, now_s)
        self.broadcast_update(RequestNews((), (verdict,)))
        await asyncio.sleep(CLAIM_SETTLE_S)
        if not self.quarantine.trials.holds(fingerprint, claim):
            raise TrialTakenError(
                f"lost the trial of request {format_fingerprint(fingerprint)} at "
                f"endpoint {endpoint.instance} to another claim"
            )
        self.log.write(
            Event.REQUEST_TRIED,
            fingerprint=format_fingerprint(fingerprint),
            endpoint=endpoint.instance,
            number=verdict.trials,
        )
        self._claims[fingerprint] = claim

    def release_trials(self, keys: Iterable[int], now_s: float) -> None:
        """End own trials that gave no result, so that the next ones need not wait."""
        for key in keys:
            claim = self._claims.pop(key, None)
            if claim is None:
                continue
            verdict = self.quarantine.trials.release(key, claim, now_s)
            if verdict is not None:
                self.broadcast_update(RequestNews((), (verdict,)))

    def record_served(self, keys: Sequence[int], now_s: float) -> None:
        """Clear the keys of a request that an endpoint has answered completely."""
        for key in keys:
            self._claims.pop(key, None)
        cleared = self.quarantine.record_served(keys, now_s)
        if not cleared:
            return
        for key in cleared:
            if self._log_cleared(key):
                # Only the gateway that served the request removes it, not every one.
                self._queue_record(key, None)
        verdicts = tuple(
            RequestVerdict(key, CLEARED, left_s=CLEARED_RETENTION_S) for key in cleared
        )
        self.send_update(RequestNews((), verdicts))

    def apply(self, update: RequestNews, now_s: float) -> RequestNews:
        """Apply an update of another gateway; returns the part that was new."""
        crashes = []
        changed: list[int] = []
        for crash in update.crashes:
            new = self.quarantine.record_crash(crash.endpoint, crash.suspects, now_s)
            if new:
                crashes.append(CrashSeen(crash.endpoint, tuple(new)))
                changed += new
        verdicts = []
        for verdict in update.verdicts:
            if not math.isfinite(verdict.left_s):
                detail = (
                    f"verdict on request {verdict.fingerprint:016x}: expected a "
                    f"finite left_s, got {verdict.left_s}"
                )
                self.log.write(Event.PEER_MESSAGE_UNREADABLE, detail=detail)
            elif self.quarantine.apply(verdict, now_s):
                verdicts.append(verdict)
                changed.append(verdict.fingerprint)
                if verdict.kind == CLEARED:
                    self._log_cleared(verdict.fingerprint)
        self._report_changes(changed, now_s)
        return RequestNews(tuple(crashes), tuple(verdicts))

    def restore(self, record: RequestRecord, now_s: float) -> None:
        """Restore a record of the log, without writing it again.

        The record of a request that has been cleared is removed from the log: one that
        has returned from a copy holds it again.
        """
        if self.quarantine.is_cleared(record.fingerprint):
            self._queue_record(record.fingerprint, None)
            return
        left_s = min(record.until_s - time.time(), QUARANTINE_DURATION_S)
        if record.quarantined:
            verdict = RequestVerdict(record.fingerprint, QUARANTINED, left_s=left_s)
            self.quarantine.apply(verdict, now_s)
            self._set_logged(record.fingerprint, RequestStatus.QUARANTINED)
        else:
            self.quarantine.suspect(record.fingerprint)
            self._set_logged(record.fingerprint, RequestStatus.TRIAL)

    def queue_lost_records(self, found: Collection[str], now_s: float) -> None:
        """Write what the log lacks; ``found`` are the keys of its records."""
        for verdict in self.quarantine.verdicts(now_s):
            is_quarantined = verdict.kind == QUARANTINED
            name = format_fingerprint(verdict.fingerprint)
            if verdict.kind == CLEARED or name in found:
                continue
            left_s = verdict.left_s if is_quarantined else QUARANTINE_DURATION_S
            self.log.write(Event.REQUEST_RECORD_LOST, fingerprint=name)
            self._queue_record(
                verdict.fingerprint,
                RequestRecord(
                    verdict.fingerprint, is_quarantined, time.time() + left_s
                ),
            )

    def _report_changes(
        self, fingerprints: Iterable[int], now_s: float
    ) -> tuple[RequestVerdict, ...]:
        """Log and record status changes; returns verdicts on newly quarantined ones."""
        quarantined = []
        for fingerprint in fingerprints:
            status = self.quarantine.status(fingerprint, now_s)
            if status is RequestStatus.WAITING:
                status = RequestStatus.TRIAL
            previous = self._logged.get(fingerprint, RequestStatus.FREE)
            if status is previous or status is RequestStatus.FREE:
                continue
            self._set_logged(fingerprint, status)
            is_quarantined = status is RequestStatus.QUARANTINED
            event = (
                Event.REQUEST_QUARANTINED if is_quarantined else Event.REQUEST_SUSPECTED
            )
            self.log.write(
                event,
                fingerprint=format_fingerprint(fingerprint),
                shared=is_shared(fingerprint) or None,
            )
            left_s = QUARANTINE_DURATION_S
            if is_quarantined:
                left_s = self.quarantine.retry_after_s(fingerprint, now_s)
                quarantined.append(
                    RequestVerdict(fingerprint, QUARANTINED, left_s=left_s)
                )
            if fingerprint in self._lost_locally:
                # Only the gateways that lost the request write it, not every one.
                until_s = time.time() + left_s
                self._queue_record(
                    fingerprint, RequestRecord(fingerprint, is_quarantined, until_s)
                )
        return tuple(quarantined)

    def _set_logged(self, fingerprint: int, status: RequestStatus) -> None:
        self._logged[fingerprint] = status
        if len(self._logged) > MAX_LOGGED_STATUSES:
            self._logged.popitem(last=False)

    def _log_cleared(self, fingerprint: int) -> bool:
        """Log that a request is cleared; returns whether it was suspected before."""
        if self._logged.pop(fingerprint, None) is None:
            return False
        name = format_fingerprint(fingerprint)
        self.log.write(Event.REQUEST_CLEARED, fingerprint=name)
        return True

    def _queue_record(self, fingerprint: int, record: RequestRecord | None) -> None:
        self.pending_records[fingerprint] = record
        if len(self.pending_records) > MAX_PENDING_RECORDS:
            dropped, _ = self.pending_records.popitem(last=False)
            name = format_fingerprint(dropped)
            self.log.write(Event.REQUEST_NOT_RECORDED, fingerprint=name)
        self.has_pending_records.set()
