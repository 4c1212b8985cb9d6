"""Holds requests back by what is known of crashes, and spreads what is new."""

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

# Requests lost with an endpoint of this gateway's, the oldest forgotten first.
MAX_LOST = 1024
# Of the requests of one crash, those under which most endpoints crashed are told to
# others: more do not fit into one datagram.
MAX_TOLD_SUSPECTS = 64
# Requests whose standing has been logged.
MAX_TOLD = 4096
# In which word of another gateway's claim arrives.
CLAIM_S = 0.01
CLAIM_BITS = 32
# Records that wait for the log; one that is full drops the oldest.
MAX_RECORDS = 256

Tell = Callable[[RequestNews], None]


def tell_nobody(news: RequestNews) -> None:
    """Stand in until the other gateways can be told."""


@define(eq=False)
class RequestGuard:
    """One gateway's quarantine, with what others and the log are to be told.

    ``tell`` sends news to a few other gateways, ``tell_all`` to all. ``records`` are
    to be written to the log: the newest for each request, None where it is to be
    removed.
    """

    log: EventLog
    quarantine: RequestQuarantine = field(factory=RequestQuarantine)
    tell: Tell = tell_nobody
    tell_all: Tell = tell_nobody
    random: Random = field(factory=Random)
    records: OrderedDict[int, RequestRecord | None] = field(factory=OrderedDict)
    to_record: asyncio.Event = field(factory=asyncio.Event)
    _lost_here: OrderedDict[int, None] = field(factory=OrderedDict)
    _told: OrderedDict[int, RequestStanding] = field(factory=OrderedDict)

    def note_crash(self, endpoint: Endpoint, suspects: list[int], now_s: float) -> None:
        """Take note of requests that were lost with an endpoint that crashed."""
        for fingerprint in suspects:
            self._lost_here[fingerprint] = None
        while len(self._lost_here) > MAX_LOST:
            self._lost_here.popitem(last=False)
        life = life_number(endpoint)
        new = self.quarantine.note_crash(life, suspects, now_s)
        if new:
            verdicts = self._verdicts_on(new, now_s)
            seen = CrashSeen(life, tuple(new[:MAX_TOLD_SUSPECTS]))
            self.tell(RequestNews((seen,), verdicts))

    def held_back(self, fingerprint: int, now_s: float) -> Refusal | None:
        """Return why a request is not sent now; None where it may be."""
        standing = self.quarantine.standing(fingerprint, now_s)
        if standing in (RequestStanding.FREE, RequestStanding.TRIAL):
            return None
        detail = "endpoints crash when they run this request"
        if standing is RequestStanding.WAITING:
            detail = "it is being tried whether this request crashes endpoints"
        after_s = self.quarantine.retry_after_s(fingerprint, now_s)
        return Refusal(Reason.REQUEST_QUARANTINED, True, detail, after_s)

    def is_on_trial(self, fingerprint: int, now_s: float) -> bool:
        """Tell whether the request may be sent only once, as a try."""
        standing = self.quarantine.standing(fingerprint, now_s)
        return standing is RequestStanding.TRIAL

    async def take_trial(self, fingerprint: int, endpoint: Endpoint) -> None:
        """Take a suspected request's one try, and let the others wait for its end.

        Raises TrialTakenError if somebody else has taken it, or does so meanwhile.
        """
        now_s = asyncio.get_running_loop().time()
        if not self.is_on_trial(fingerprint, now_s):
            raise TrialTakenError(written_fingerprint(fingerprint))
        claim = self.random.getrandbits(CLAIM_BITS)
        life = life_number(endpoint)
        verdict = self.quarantine.claim_trial(fingerprint, life, claim, now_s)
        self.tell_all(RequestNews((), (verdict,)))
        await asyncio.sleep(CLAIM_S)
        if not self.quarantine.has_trial(fingerprint, claim):
            raise TrialTakenError(written_fingerprint(fingerprint))
        self.log.write(
            Event.REQUEST_TRIED,
            fingerprint=written_fingerprint(fingerprint),
            endpoint=endpoint.instance,
            number=verdict.trials,
        )

    def note_served(self, fingerprint: int, now_s: float) -> None:
        """Clear a request whose whole answer an endpoint has given."""
        if not self.quarantine.clear(fingerprint, now_s):
            return
        if self._note_cleared(fingerprint):
            # Who served it does, so that not every gateway does.
            self._record(fingerprint, None)
        verdict = RequestVerdict(fingerprint, CLEARED, left_s=CLEARED_S)
        self.tell(RequestNews((), (verdict,)))

    def take(self, news: RequestNews, now_s: float) -> RequestNews:
        """Take another gateway's word; returns what of it was new."""
        crashes = []
        touched: list[int] = []
        for crash in news.crashes:
            new = self.quarantine.note_crash(crash.endpoint, crash.suspects, now_s)
            if new:
                crashes.append(CrashSeen(crash.endpoint, tuple(new)))
                touched += new
        verdicts = []
        for verdict in news.verdicts:
            if not math.isfinite(verdict.left_s):
                detail = f"a quarantine of {verdict.left_s} s"
                self.log.write(Event.PEER_MESSAGE_UNREADABLE, detail=detail)
            elif self.quarantine.take(verdict, now_s):
                verdicts.append(verdict)
                touched.append(verdict.fingerprint)
                if verdict.kind == CLEARED:
                    self._note_cleared(verdict.fingerprint)
        self._verdicts_on(touched, now_s)
        return RequestNews(tuple(crashes), tuple(verdicts))

    def restore(self, record: RequestRecord, now_s: float) -> None:
        """Take up what a record of the log says; it need not be written again."""
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
        """Log and record what has changed for these; returns new quarantines."""
        held = []
        for fingerprint in fingerprints:
            standing = self.quarantine.standing(fingerprint, now_s)
            if standing is RequestStanding.WAITING:
                standing = RequestStanding.TRIAL
            before = self._told.get(fingerprint, RequestStanding.FREE)
            if standing is before or standing is RequestStanding.FREE:
                continue
            self._note_told(fingerprint, standing)
            is_held = standing is RequestStanding.QUARANTINED
            event = Event.REQUEST_QUARANTINED if is_held else Event.REQUEST_SUSPECTED
            self.log.write(event, fingerprint=written_fingerprint(fingerprint))
            if is_held:
                held.append(
                    RequestVerdict(fingerprint, QUARANTINED, left_s=QUARANTINE_S)
                )
            if fingerprint in self._lost_here:
                # Those that lost it write it, so that not every gateway does.
                until_s = time.time() + QUARANTINE_S
                self._record(fingerprint, RequestRecord(fingerprint, is_held, until_s))
        return tuple(held)

    def _note_told(self, fingerprint: int, standing: RequestStanding) -> None:
        self._told[fingerprint] = standing
        if len(self._told) > MAX_TOLD:
            self._told.popitem(last=False)

    def _note_cleared(self, fingerprint: int) -> bool:
        """Log the end of a suspicion; tells whether there was one."""
        if self._told.pop(fingerprint, None) is None:
            return False
        name = written_fingerprint(fingerprint)
        self.log.write(Event.REQUEST_CLEARED, fingerprint=name)
        return True

    def _record(self, fingerprint: int, record: RequestRecord | None) -> None:
        self.records[fingerprint] = record
        if len(self.records) > MAX_RECORDS:
            dropped, _ = self.records.popitem(last=False)
            name = written_fingerprint(dropped)
            self.log.write(Event.REQUEST_NOT_RECORDED, fingerprint=name)
        self.to_record.set()
