"""Holds requests back by what is known of crashes, and spreads what is new."""

import asyncio
import math
import time
from collections import OrderedDict
from collections.abc import Callable, Iterable
from random import Random

from attrs import define, field

from acaciacove.decisions.request_quarantine import (
    CLEARED_RETENTION_S,
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

# Requests lost with an endpoint of this gateway's, the oldest forgotten first.
MAX_LOST_REQUESTS = 1024
# Of the requests of one crash, those under which most endpoints crashed are told to
# others: more do not fit into one datagram.
MAX_SUSPECTS_PER_UPDATE = 64
# Requests whose standing has been logged.
MAX_LOGGED_STATUSES = 4096
# In which word of another gateway's claim arrives.
CLAIM_SETTLE_S = 0.01
CLAIM_BITS = 32
# Records that wait for the log; one that is full drops the oldest.
MAX_PENDING_RECORDS = 256

SendUpdate = Callable[[RequestNews], None]


def ignore_update(news: RequestNews) -> None:
    """Stand in until the other gateways can be told."""


@define(eq=False)
class RequestGuard:
    """One gateway's quarantine, with what others and the log are to be told.

    ``send_update`` sends news to a few other gateways, ``broadcast_update`` to all.
    ``records`` are to be written to the log: the newest for each request, None where
    it is to be removed.
    """

    log: EventLog
    quarantine: RequestQuarantine = field(factory=RequestQuarantine)
    send_update: SendUpdate = ignore_update
    broadcast_update: SendUpdate = ignore_update
    random: Random = field(factory=Random)
    records: OrderedDict[int, RequestRecord | None] = field(factory=OrderedDict)
    has_pending_records: asyncio.Event = field(factory=asyncio.Event)
    _lost_locally: OrderedDict[int, None] = field(factory=OrderedDict)
    _logged: OrderedDict[int, RequestStatus] = field(factory=OrderedDict)

    def record_crash(
        self, endpoint: Endpoint, suspects: list[int], now_s: float
    ) -> None:
        """Take note of requests that were lost with an endpoint that crashed."""
        for fingerprint in suspects:
            self._lost_locally[fingerprint] = None
        while len(self._lost_locally) > MAX_LOST_REQUESTS:
            self._lost_locally.popitem(last=False)
        life = incarnation_id(endpoint)
        new = self.quarantine.record_crash(life, suspects, now_s)
        if new:
            verdicts = self._report_changes(new, now_s)
            seen = CrashSeen(life, tuple(new[:MAX_SUSPECTS_PER_UPDATE]))
            self.send_update(RequestNews((seen,), verdicts))

    def refusal_for(self, fingerprint: int, now_s: float) -> Refusal | None:
        """Return why a request is not sent now; None where it may be."""
        status = self.quarantine.status(fingerprint, now_s)
        if status in (RequestStatus.FREE, RequestStatus.TRIAL):
            return None
        detail = "endpoints crash when they run this request"
        if status is RequestStatus.WAITING:
            detail = "it is being tried whether this request crashes endpoints"
        after_s = self.quarantine.retry_after_s(fingerprint, now_s)
        return Refusal(Reason.REQUEST_QUARANTINED, True, detail, after_s)

    def requires_trial(self, fingerprint: int, now_s: float) -> bool:
        """Tell whether the request may be sent only once, as a try."""
        status = self.quarantine.status(fingerprint, now_s)
        return status is RequestStatus.TRIAL

    async def acquire_trial(self, fingerprint: int, endpoint: Endpoint) -> None:
        """Take a suspected request's one try, and let the others wait for its end.

        Raises TrialTakenError if somebody else has taken it, or does so meanwhile.
        """
        now_s = asyncio.get_running_loop().time()
        if not self.requires_trial(fingerprint, now_s):
            raise TrialTakenError(format_fingerprint(fingerprint))
        claim = self.random.getrandbits(CLAIM_BITS)
        life = incarnation_id(endpoint)
        verdict = self.quarantine.claim_trial(fingerprint, life, claim, now_s)
        self.broadcast_update(RequestNews((), (verdict,)))
        await asyncio.sleep(CLAIM_SETTLE_S)
        if not self.quarantine.holds_trial(fingerprint, claim):
            raise TrialTakenError(format_fingerprint(fingerprint))
        self.log.write(
            Event.REQUEST_TRIED,
            fingerprint=format_fingerprint(fingerprint),
            endpoint=endpoint.instance,
            number=verdict.trials,
        )

    def record_served(self, fingerprint: int, now_s: float) -> None:
        """Clear a request whose whole answer an endpoint has given."""
        if not self.quarantine.clear(fingerprint, now_s):
            return
        if self._log_cleared(fingerprint):
            # Who served it does, so that not every gateway does.
            self._queue_record(fingerprint, None)
        verdict = RequestVerdict(fingerprint, CLEARED, left_s=CLEARED_RETENTION_S)
        self.send_update(RequestNews((), (verdict,)))

    def apply(self, news: RequestNews, now_s: float) -> RequestNews:
        """Take another gateway's word; returns what of it was new."""
        crashes = []
        touched: list[int] = []
        for crash in news.crashes:
            new = self.quarantine.record_crash(crash.endpoint, crash.suspects, now_s)
            if new:
                crashes.append(CrashSeen(crash.endpoint, tuple(new)))
                touched += new
        verdicts = []
        for verdict in news.verdicts:
            if not math.isfinite(verdict.left_s):
                detail = f"a quarantine of {verdict.left_s} s"
                self.log.write(Event.PEER_MESSAGE_UNREADABLE, detail=detail)
            elif self.quarantine.apply(verdict, now_s):
                verdicts.append(verdict)
                touched.append(verdict.fingerprint)
                if verdict.kind == CLEARED:
                    self._log_cleared(verdict.fingerprint)
        self._report_changes(touched, now_s)
        return RequestNews(tuple(crashes), tuple(verdicts))

    def restore(self, record: RequestRecord, now_s: float) -> None:
        """Take up what a record of the log says; it need not be written again."""
        left_s = min(record.until_s - time.time(), QUARANTINE_DURATION_S)
        if record.quarantined:
            verdict = RequestVerdict(record.fingerprint, QUARANTINED, left_s=left_s)
            self.quarantine.apply(verdict, now_s)
            self._set_logged(record.fingerprint, RequestStatus.QUARANTINED)
        else:
            self.quarantine.suspect(record.fingerprint)
            self._set_logged(record.fingerprint, RequestStatus.TRIAL)

    def _report_changes(
        self, fingerprints: Iterable[int], now_s: float
    ) -> tuple[RequestVerdict, ...]:
        """Log and record what has changed for these; returns new quarantines."""
        held = []
        for fingerprint in fingerprints:
            status = self.quarantine.status(fingerprint, now_s)
            if status is RequestStatus.WAITING:
                status = RequestStatus.TRIAL
            before = self._logged.get(fingerprint, RequestStatus.FREE)
            if status is before or status is RequestStatus.FREE:
                continue
            self._set_logged(fingerprint, status)
            is_held = status is RequestStatus.QUARANTINED
            event = Event.REQUEST_QUARANTINED if is_held else Event.REQUEST_SUSPECTED
            self.log.write(event, fingerprint=format_fingerprint(fingerprint))
            if is_held:
                held.append(
                    RequestVerdict(
                        fingerprint, QUARANTINED, left_s=QUARANTINE_DURATION_S
                    )
                )
            if fingerprint in self._lost_locally:
                # Those that lost it write it, so that not every gateway does.
                until_s = time.time() + QUARANTINE_DURATION_S
                self._queue_record(
                    fingerprint, RequestRecord(fingerprint, is_held, until_s)
                )
        return tuple(held)

    def _set_logged(self, fingerprint: int, status: RequestStatus) -> None:
        self._logged[fingerprint] = status
        if len(self._logged) > MAX_LOGGED_STATUSES:
            self._logged.popitem(last=False)

    def _log_cleared(self, fingerprint: int) -> bool:
        """Log the end of a suspicion; tells whether there was one."""
        if self._logged.pop(fingerprint, None) is None:
            return False
        name = format_fingerprint(fingerprint)
        self.log.write(Event.REQUEST_CLEARED, fingerprint=name)
        return True

    def _queue_record(self, fingerprint: int, record: RequestRecord | None) -> None:
        self.records[fingerprint] = record
        if len(self.records) > MAX_PENDING_RECORDS:
            dropped, _ = self.records.popitem(last=False)
            name = format_fingerprint(dropped)
            self.log.write(Event.REQUEST_NOT_RECORDED, fingerprint=name)
        self.has_pending_records.set()
