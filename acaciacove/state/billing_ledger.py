"""Totals of the billing stream, in which the first record for a request counts."""

from collections import Counter, OrderedDict

from acaciacove.adapters.log_entry import LogEntry
from acaciacove.errors import MalformedMessageError
from acaciacove.state.batch_codec import decode_batch
from acaciacove.state.billing_codec import decode_billing_record
from acaciacove.state.billing_record import BillingRecord

MAX_RETAINED_IDS = 1_000_000


class BillingLedger:
    """Totals of the billing stream by organisation.

    ``duplicates`` counts further records for a request, which are expected after
    faults and are ignored. ``requests`` and ``cost`` do not include records without
    an answer.
    """

    def __init__(self, max_retained_ids: int = MAX_RETAINED_IDS) -> None:
        """Start before the first record of the stream."""
        self.requests: Counter[str] = Counter()
        self.cost: dict[str, float] = {}
        self.duplicates = 0
        self.malformed = 0
        self._max_retained_ids = max_retained_ids
        self._records: OrderedDict[str, BillingRecord] = OrderedDict()

    def record_of(self, request_id: str) -> BillingRecord | None:
        """Return the record that counts for a request."""
        return self._records.get(request_id)

    def offer(self, entries: list[LogEntry]) -> None:
        """Apply log entries, as a LogTail delivers them in order."""
        for entry in entries:
            try:
                batch = decode_batch(entry.payload)
            except MalformedMessageError:
                self.malformed += 1
                continue
            for item in batch.items:
                try:
                    self._fold(decode_billing_record(item))
                except MalformedMessageError:
                    self.malformed += 1

    def _fold(self, record: BillingRecord) -> None:
        if record.request_id in self._records:
            self.duplicates += 1
            return
        self._records[record.request_id] = record
        if len(self._records) > self._max_retained_ids:
            self._records.popitem(last=False)
        if record.answered:
            organisation = record.organisation
            self.requests[organisation] += 1
            self.cost[organisation] = self.cost.get(organisation, 0.0) + record.cost
