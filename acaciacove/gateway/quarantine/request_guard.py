"""Refuses requests that crash endpoints and shares new evidence with peers."""

import asyncio
import math
import time
from collections import OrderedDict
from collections.abc import Callable, Iterable
from random import Random

from attrs import define, field

from acaciacove.decisions.request_quarantine import (
    CLEARED_S,
    QUARANTINE_S,
    RequestQuarantine,
)
from acaciacove.decisions.request_standing import RequestStanding
from acaciacove.gateway.catalogue.endpoint import Endpoint
from acaciacove.gateway.endpoint_states import life_number
from acaciacove.gateway.event_log import EventLog
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.quarantine.request_fingerprint import written_fingerprint
from acaciacove.gateway.quarantine.request_record import RequestRecord
from acaciacove.gateway.quarantine.trial_taken_error import TrialTakenError
from acaciacove.messages.crash_seen import CrashSeen
from acaciacove.messages.request_news import RequestNews
from acaciacove.messages.request_verdict import CLEARED, QUARANTINED, RequestVerdict
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal

# Requests lost by this gateway in crashes; the oldest are evicted first.
MAX_LOST = 1024
# More suspects do not fit into one datagram; those with the most crashes are sent.
MAX_TOLD_SUSPECTS = 64
# Requests whose last logged status is remembered.
MAX_TOLD = 4096
# Competing claims of other gateways arrive within this time.
CLAIM_S = 0.01
CLAIM_BITS = 32
# Records waiting to be written to the log; beyond this the oldest are dropped.
MAX_RECORDS = 256

Tell = Callable[[RequestNews], None]


def tell_nobody(news: RequestNews) -> None:
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
    tell: Tell = tell_nobody
    tell_all: Tell = tell_nobody
    random: Random = field(factory=Random)
    pending_records: OrderedDict[int, RequestRecord | None] = field(factory=OrderedDict)
    to_record: asyncio.Event = field(factory=asyncio.Event)
    _lost_here: OrderedDict[int, None] = field(factory=OrderedDict)
    _told: OrderedDict[int, RequestStanding] = field(factory=OrderedDict)

    def note_crash(self, endpoint: Endpoint, suspects: list[int], now_s: float) -> None:
        """Record the requests that were lost when an endpoint crashed."""
        for fingerprint in suspects:
            self._lost_here[fingerprint] = None
        while len(self._lost_here) > MAX_LOST:
            self._lost_here.popitem(last=False)
        incarnation = life_number(endpoint)
        new = self.quarantine.note_crash(incarnation, suspects, now_s)
        if new:
            verdicts = self._verdicts_on(new, now_s)
            crash = CrashSeen(incarnation, tuple(new[:MAX_TOLD_SUSPECTS]))
            self.tell(RequestNews((crash,), verdicts))

    def held_back(self, fingerprint: int, now_s: float) -> Refusal | None:
        """Return why a request is not sent now, or None if it may be."""
        standing = self.quarantine.standing(fingerprint, now_s)
        if standing in (RequestStanding.FREE, RequestStanding.TRIAL):
            return None
        detail = "endpoints crash when they run this request"
        if standing is RequestStanding.WAITING:
            detail = "it is being tried whether this request crashes endpoints"
        after_s = self.quarantine.retry_after_s(fingerprint, now_s)
        return Refusal(Reason.REQUEST_QUARANTINED, True, detail, after_s)

    def is_on_trial(self, fingerprint: int, now_s: float) -> bool:
        """Return whether the request may be sent only once, as a trial."""
        standing = self.quarantine.standing(fingerprint, now_s)
        return standing is RequestStanding.TRIAL

    async def take_trial(self, fingerprint: int, endpoint: Endpoint) -> None:
        """Acquire the one trial of a suspected request; peers wait for its result.

        Raises TrialTakenError if another request or gateway already has the trial or
        wins it with a competing claim.
        """
        now_s = asyncio.get_running_loop().time()
        if not self.is_on_trial(fingerprint, now_s):
            raise TrialTakenError(
                f"request {written_fingerprint(fingerprint)} has no trial available"
            )
        claim = self.random.getrandbits(CLAIM_BITS)
        incarnation = life_number(endpoint)
        verdict = self.quarantine.claim_trial(fingerprint, incarnation, claim, now_s)
        self.tell_all(RequestNews((), (verdict,)))
        await asyncio.sleep(CLAIM_S)
        if not self.quarantine.has_trial(fingerprint, claim):
            raise TrialTakenError(
                f"lost the trial of request {written_fingerprint(fingerprint)} at "
                f"endpoint {endpoint.instance} to another claim"
            )
        self.log.write(
            Event.REQUEST_TRIED,
            fingerprint=written_fingerprint(fingerprint),
            endpoint=endpoint.instance,
            number=verdict.trials,
        )

    def note_served(self, fingerprint: int, now_s: float) -> None:
        """Clear a request that an endpoint has answered completely."""
        if not self.quarantine.clear(fingerprint, now_s):
            return
        if self._note_cleared(fingerprint):
            # Only the gateway that served the request removes its record.
            self._record(fingerprint, None)
        verdict = RequestVerdict(fingerprint, CLEARED, left_s=CLEARED_S)
        self.tell(RequestNews((), (verdict,)))

    def take(self, news: RequestNews, now_s: float) -> RequestNews:
        """Apply an update of another gateway; returns the part that was new."""
        crashes = []
        changed: list[int] = []
        for crash in news.crashes:
            new = self.quarantine.note_crash(crash.endpoint, crash.suspects, now_s)
            if new:
                crashes.append(CrashSeen(crash.endpoint, tuple(new)))
                changed += new
        verdicts = []
        for verdict in news.verdicts:
            if not math.isfinite(verdict.left_s):
                detail = (
                    f"verdict on request {verdict.fingerprint:016x}: expected a "
                    f"finite left_s, got {verdict.left_s}"
                )
                self.log.write(Event.PEER_MESSAGE_UNREADABLE, detail=detail)
            elif self.quarantine.take(verdict, now_s):
                verdicts.append(verdict)
                changed.append(verdict.fingerprint)
                if verdict.kind == CLEARED:
                    self._note_cleared(verdict.fingerprint)
        self._verdicts_on(changed, now_s)
        return RequestNews(tuple(crashes), tuple(verdicts))

    def restore(self, record: RequestRecord, now_s: float) -> None:
        """Restore a record of the log, without writing it again."""
        left_s = min(record.until_s - time.time(), QUARANTINE_S)
        if record.quarantined:
            verdict = RequestVerdict(record.fingerprint, QUARANTINED, left_s=left_s)
            self.quarantine.take(verdict, now_s)
            self._note_told(record.fingerprint, RequestStanding.QUARANTINED)
        else:
            self.quarantine.suspect(record.fingerprint)
            self._note_told(record.fingerprint, RequestStanding.TRIAL)

    def _verdicts_on(
        self, fingerprints: Iterable[int], now_s: float
    ) -> tuple[RequestVerdict, ...]:
        """Log and record status changes; returns verdicts on newly quarantined ones."""
        quarantined = []
        for fingerprint in fingerprints:
            standing = self.quarantine.standing(fingerprint, now_s)
            if standing is RequestStanding.WAITING:
                standing = RequestStanding.TRIAL
            previous = self._told.get(fingerprint, RequestStanding.FREE)
            if standing is previous or standing is RequestStanding.FREE:
                continue
            self._note_told(fingerprint, standing)
            is_quarantined = standing is RequestStanding.QUARANTINED
            event = (
                Event.REQUEST_QUARANTINED if is_quarantined else Event.REQUEST_SUSPECTED
            )
            self.log.write(event, fingerprint=written_fingerprint(fingerprint))
            if is_quarantined:
                quarantined.append(
                    RequestVerdict(fingerprint, QUARANTINED, left_s=QUARANTINE_S)
                )
            if fingerprint in self._lost_here:
                # Only the gateways that lost the request write its record.
                until_s = time.time() + QUARANTINE_S
                self._record(
                    fingerprint, RequestRecord(fingerprint, is_quarantined, until_s)
                )
        return tuple(quarantined)

    def _note_told(self, fingerprint: int, standing: RequestStanding) -> None:
        self._told[fingerprint] = standing
        if len(self._told) > MAX_TOLD:
            self._told.popitem(last=False)

    def _note_cleared(self, fingerprint: int) -> bool:
        """Log that a request is cleared; returns whether it was suspected before."""
        if self._told.pop(fingerprint, None) is None:
            return False
        name = written_fingerprint(fingerprint)
        self.log.write(Event.REQUEST_CLEARED, fingerprint=name)
        return True

    def _record(self, fingerprint: int, record: RequestRecord | None) -> None:
        self.pending_records[fingerprint] = record
        if len(self.pending_records) > MAX_RECORDS:
            dropped, _ = self.pending_records.popitem(last=False)
            name = written_fingerprint(dropped)
            self.log.write(Event.REQUEST_NOT_RECORDED, fingerprint=name)
        self.to_record.set()
