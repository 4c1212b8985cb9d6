"""Applies endpoints' records to the routing view."""

import asyncio

from attrs import define, evolve, field

from acaciacove.decisions.entry_retention import EntryRetention
from acaciacove.decisions.report_order import ReportOrder
from acaciacove.errors import MalformedMessageError
from acaciacove.gateway.catalogue.endpoint import Endpoint
from acaciacove.gateway.endpoint_report import EndpointReport
from acaciacove.gateway.event_log import EventLog
from acaciacove.gateway.gateway import Gateway
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.log_reading import LogReading
from acaciacove.gateway.log_record import LogRecord
from acaciacove.gateway.log_stream import LogStream
from acaciacove.gateway.record_codec import RecordCodec
from acaciacove.gateway.routing_view import RoutingView

# Entries of endpoints that are gone expire after so many heartbeats. After a return of
# the log from a copy, an entry of an endpoint that had left is not believed before.
EXPIRY_HEARTBEATS = 3.5


@define(eq=False)
class EndpointReader:
    """Applies records and removals in offset order.

    Offsets compare within one era of the log. Where the log has returned from a copy,
    an endpoint's own count of its reports tells which is the newest.
    """

    gateway: Gateway
    codec: RecordCodec
    _retention: EntryRetention = field(factory=EntryRetention)
    _offsets: dict[str, int] = field(factory=dict)
    _order: ReportOrder = field(factory=ReportOrder)
    _doubted: dict[str, EndpointReport] = field(factory=dict)
    _doubted_until_boot_s: float = float("-inf")

    @property
    def view(self) -> RoutingView:
        """The view that the records are applied to."""
        return self.gateway.view

    @property
    def log(self) -> EventLog:
        """The log for changes of the view."""
        return self.gateway.log

    @property
    def is_waiting_for_entries(self) -> bool:
        """Return whether removed entries are retained until a later read."""
        return not self._retention.is_empty

    @property
    def next_expiry_in_s(self) -> float:
        """The time until a read can show that a retained entry is not back."""
        return max(0.0, self._retention.next_read_s - self.view.clock_s())

    def apply_reading(self, reading: LogReading) -> None:
        """Apply the result of one read of the stream."""
        recovered_s = reading.recovered_boot_s(self.gateway.settings.heartbeat_s)
        self._retention.begin_read(
            self.view.clock_s(),
            recovered_s,
            reading.failing_since_boot_s,
            reading.is_restored,
        )
        if recovered_s is not None:
            self.gateway.tails[LogStream.ENDPOINTS].recovered_boot_s = recovered_s
        if reading.is_restored:
            self._apply_restored(reading.page.records)
        elif reading.is_snapshot:
            self.apply_snapshot(reading.page.records)
        else:
            for record in reading.page.records:
                self.apply(record)
        self._retention.end_read(reading.complete_boot_s)
        self.view.confirm_endpoints(reading.complete_boot_s)
        self.expire()

    def apply_snapshot(self, records: tuple[LogRecord, ...]) -> None:
        """Apply the newest record of each key; keys without a record were removed."""
        listed = {record.key for record in records}
        for key in [k for k in self.view.endpoints if k not in listed]:
            self._remove(key)
        for key in self._doubted.keys() - listed:
            del self._doubted[key]
        for record in sorted(records, key=lambda r: r.offset):
            self.apply(record)
        self.view.endpoints_loaded = True

    def _apply_restored(self, records: tuple[LogRecord, ...]) -> None:
        """Apply the first snapshot after the log has returned from a copy.

        Its entries may be older than the known ones. An entry that is missing may not
        have been written again yet.
        """
        self._offsets.clear()
        self._doubted = {}
        expiry_s = EXPIRY_HEARTBEATS * self.gateway.settings.heartbeat_s
        self._doubted_until_boot_s = self.view.clock_s() + expiry_s
        listed = {record.key for record in records}
        for key in [k for k in self.view.endpoints if k not in listed]:
            self._remove(key)
        for record in sorted(records, key=lambda r: r.offset):
            self._offsets[record.key] = record.offset
            report = self._read(record)
            if report is not None:
                self._apply_from_copy(report)
        self.view.endpoints_loaded = True

    def _apply_from_copy(self, report: EndpointReport) -> None:
        """Apply a report that may be older than what is known of its endpoint."""
        if self._order.is_newer(report.instance, report.started_ms, report.sequence):
            self._apply_report(report)
            return
        known = self.view.endpoints.get(report.instance)
        if known is None:
            self._doubted[report.instance] = report
        elif known.incarnation == report.incarnation:
            # The safe side for the endpoint, where its reports are not counted.
            cold_until_s = asyncio.get_running_loop().time() + report.cold_remaining_s
            self.view.endpoints[report.instance] = evolve(
                known,
                draining=known.draining or report.draining,
                cold_until_s=max(known.cold_until_s, cold_until_s),
            )
        self._log_superseded(report)

    def _log_superseded(self, report: EndpointReport) -> None:
        is_known = report.instance in self.view.endpoints
        self.log.write(
            Event.ENDPOINT_SUPERSEDED,
            routine=is_known,
            endpoint=report.instance,
            sequence=report.sequence,
            gone=not is_known,
        )

    def apply(self, record: LogRecord) -> None:
        """Apply one record."""
        if record.offset <= self._offsets.get(record.key, -1):
            return
        self._offsets[record.key] = record.offset
        self._doubted.pop(record.key, None)
        if record.value is None:
            self._remove(record.key)
            return
        report = self._read(record)
        if report is None:
            return
        if self._is_late(report):
            # It comes after the one that says that the endpoint leaves, or after the
            # removal, and would bring the endpoint back.
            self._log_superseded(report)
            return
        self._apply_report(report)

    def _is_late(self, report: EndpointReport) -> bool:
        return self._order.is_late(
            report.instance, report.started_ms, report.sequence, self.view.clock_s()
        )

    def _read(self, record: LogRecord) -> EndpointReport | None:
        """Decode a record; None, with a log line, if it is unreadable."""
        try:
            return self.codec.read_endpoint(record)
        except MalformedMessageError as error:
            self.log.write(
                Event.RECORD_UNREADABLE,
                key=record.key,
                offset=record.offset,
                detail=str(error),
            )
            return None

    def _apply_report(self, report: EndpointReport) -> None:
        now_s = asyncio.get_running_loop().time()
        self._retention.record_write(report.instance)
        self._order.record(
            report.instance, report.started_ms, report.sequence, self.view.clock_s()
        )
        previous = self.view.endpoints.get(report.instance)
        endpoint = Endpoint(
            instance=report.instance,
            incarnation=report.incarnation,
            service=report.service,
            host=report.host,
            port=report.port,
            availability_zone=report.availability_zone,
            version=report.version,
            slots=report.slots,
            draining=report.draining,
            cold_until_s=now_s + report.cold_remaining_s,
        )
        self.view.endpoints[report.instance] = endpoint
        if (
            previous is None
            or previous.key != endpoint.key
            or previous.draining != endpoint.draining
            or (previous.cold_until_s <= now_s) != (endpoint.cold_until_s <= now_s)
        ):
            self.log.write(
                Event.ENDPOINT_KNOWN,
                endpoint=report.instance,
                service=report.service,
                version=report.version,
                zone=report.availability_zone,
                leaving=report.draining,
                cold_s=round(report.cold_remaining_s, 3),
                first=previous is None,
            )

    def _remove(self, instance: str) -> None:
        if instance not in self.view.endpoints or self._retention.is_retained(instance):
            return
        now_s, drain_s = self.view.clock_s(), self.gateway.settings.drain_s
        if self._retention.retain_removed(instance, now_s, drain_s):
            self.log.write(
                Event.ENDPOINT_LAPSED,
                endpoint=instance,
                known_age_s=self._view_age_s(),
            )
            return
        self._drop(instance, "removed")

    def expire(self) -> None:
        """Remove retained entries whose endpoints did not register again in time.

        Entries that were doubted and did not expire in the log are believed.
        """
        for instance in self._retention.pop_expired(self.view.clock_s()):
            self._drop(instance, "not_back")
        if self.view.endpoints_confirmed_boot_s >= self._doubted_until_boot_s:
            doubted, self._doubted = self._doubted, {}
            for report in doubted.values():
                self._apply_report(report)

    def _drop(self, instance: str, reason: str) -> None:
        self.view.endpoints.pop(instance, None)
        self.log.write(
            Event.ENDPOINT_GONE,
            endpoint=instance,
            reason=reason,
            known_age_s=self._view_age_s(),
        )

    def _view_age_s(self) -> float:
        """Return the time since the entries were last known to be complete."""
        return round(self.view.endpoints_age_s, 3)
