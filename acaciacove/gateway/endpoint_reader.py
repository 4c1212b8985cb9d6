"""Folds endpoints' heartbeats into beliefs."""

import asyncio

from attrs import define, field

from acaciacove.errors import MalformedMessageError
from acaciacove.gateway.beliefs import Beliefs
from acaciacove.gateway.catalogue.endpoint import Endpoint
from acaciacove.gateway.endpoint_report import EndpointReport
from acaciacove.gateway.event_log import EventLog
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.log_reading import LogReading
from acaciacove.gateway.log_record import LogRecord
from acaciacove.gateway.record_codec import RecordCodec

# Entries lapse while the log is away, without their endpoints having left. Those
# that live are back within two seconds of its return; until then a removal that
# came with an outage is kept open. Counted from the first call that succeeds.
LAPSE_GRACE_S = 2.2
# A removal this soon after a failed call belongs to the outage.
OUTAGE_MEMORY_S = 1.0


@define(eq=False)
class EndpointReader:
    """Applies heartbeats and removals in offset order.

    ``outage_s`` is when a call to the log last failed. ``_lapsed`` holds until when
    entries may come back that went with an outage.
    """

    beliefs: Beliefs
    codec: RecordCodec
    log: EventLog
    outage_s: float = -1e9
    _offsets: dict[str, int] = field(factory=dict)
    _lapsed: dict[str, float] = field(factory=dict)
    _heard_s: dict[str, float] = field(factory=dict)

    def note_outage(self) -> None:
        """Note a failed call; entries that lapsed wait for the log's return anew."""
        self.outage_s = asyncio.get_running_loop().time()
        for instance in self._lapsed:
            self._lapsed[instance] = self.outage_s + LAPSE_GRACE_S

    def apply_reading(self, reading: LogReading) -> None:
        """Take what one look at the stream has shown."""
        if reading.is_newest:
            self.apply_newest(reading.page.records)
        else:
            for record in reading.page.records:
                self.apply(record)
        self.beliefs.confirm_endpoints(reading.complete_boot_s)

    def apply_newest(self, records: tuple[LogRecord, ...]) -> None:
        """Take the newest of each key; keys that are missing were removed."""
        listed = {record.key for record in records}
        for key in [k for k in self.beliefs.endpoints if k not in listed]:
            self._remove(key)
        for record in sorted(records, key=lambda r: r.offset):
            self.apply(record)
        self.beliefs.endpoints_known = True

    def apply(self, record: LogRecord) -> None:
        """Take one record."""
        if record.offset <= self._offsets.get(record.key, -1):
            return
        self._offsets[record.key] = record.offset
        if record.value is None:
            self._remove(record.key)
            return
        try:
            report = self.codec.read_endpoint(record)
        except MalformedMessageError as error:
            self.log.write(
                Event.RECORD_UNREADABLE,
                key=record.key,
                offset=record.offset,
                detail=str(error),
            )
            return
        self._take(report)

    def _take(self, report: EndpointReport) -> None:
        now_s = asyncio.get_running_loop().time()
        self._lapsed.pop(report.instance, None)
        self._heard_s[report.instance] = now_s
        before = self.beliefs.endpoints.get(report.instance)
        endpoint = Endpoint(
            instance=report.instance,
            generation=report.generation,
            service=report.service,
            host=report.host,
            port=report.port,
            availability_zone=report.availability_zone,
            version=report.version,
            slots=report.slots,
            leaving=report.leaving,
            cold_until_s=now_s + report.cold_remaining_s,
        )
        self.beliefs.endpoints[report.instance] = endpoint
        if (
            before is None
            or before.key != endpoint.key
            or before.leaving != endpoint.leaving
            or (before.cold_until_s <= now_s) != (endpoint.cold_until_s <= now_s)
        ):
            self.log.write(
                Event.ENDPOINT_KNOWN,
                endpoint=report.instance,
                service=report.service,
                version=report.version,
                zone=report.availability_zone,
                leaving=report.leaving,
                cold_s=round(report.cold_remaining_s, 3),
                first=before is None,
            )

    def _remove(self, instance: str) -> None:
        now_s = asyncio.get_running_loop().time()
        if instance not in self.beliefs.endpoints or instance in self._lapsed:
            return
        if self._may_have_lapsed(instance, now_s):
            self._lapsed[instance] = now_s + LAPSE_GRACE_S
            self.log.write(
                Event.ENDPOINT_LAPSED,
                endpoint=instance,
                known_age_s=self._known_age_s(),
            )
            return
        self._drop(instance, "removed")

    def _may_have_lapsed(self, instance: str, now_s: float) -> bool:
        """Tell whether an entry may have gone with an outage, and not by its endpoint.

        An endpoint whose heartbeat was read after the last failed call had an entry
        then: what removes it later is its departure. Taken for a lapse, it would get
        requests for two seconds after it has left.
        """
        if now_s - self.outage_s >= OUTAGE_MEMORY_S:
            return False
        return self._heard_s.get(instance, -1e9) <= self.outage_s

    def expire(self) -> None:
        """Drop entries that lapsed with an outage and have not come back."""
        now_s = asyncio.get_running_loop().time()
        for instance, until_s in list(self._lapsed.items()):
            if now_s >= until_s:
                del self._lapsed[instance]
                self._drop(instance, "not_back")

    def _drop(self, instance: str, reason: str) -> None:
        self.beliefs.endpoints.pop(instance, None)
        self._heard_s.pop(instance, None)
        self.log.write(
            Event.ENDPOINT_GONE,
            endpoint=instance,
            reason=reason,
            known_age_s=self._known_age_s(),
        )

    def _known_age_s(self) -> float:
        """How long ago the entries were last known to be complete."""
        return round(self.beliefs.endpoints_age_s, 3)
