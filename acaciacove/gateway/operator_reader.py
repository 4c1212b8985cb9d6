"""Applies the operator's records to the routing view."""

import asyncio

from attrs import define, field

from acaciacove.errors import MalformedMessageError
from acaciacove.gateway.catalogue.catalogue import Catalogue
from acaciacove.gateway.catalogue.rollout_order import RolloutOrder
from acaciacove.gateway.event_log import EventLog
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.log_reading import LogReading
from acaciacove.gateway.log_record import LogRecord
from acaciacove.gateway.operator_decision import RolloutSpec, ZoneOut
from acaciacove.gateway.record_codec import RecordCodec
from acaciacove.gateway.routing_view import RoutingView


@define(eq=False)
class OperatorReader:
    """Applies records in offset order and ignores those older than a known one."""

    view: RoutingView
    codec: RecordCodec
    log: EventLog
    _offsets: dict[str, int] = field(factory=dict)

    def apply_reading(self, reading: LogReading) -> None:
        """Apply the result of one read of the stream."""
        if reading.is_snapshot:
            self.apply_snapshot(reading.page.records)
        else:
            for record in reading.page.records:
                self.apply(record)
        self.view.confirm(reading.complete_boot_s)

    def apply_snapshot(self, records: tuple[LogRecord, ...]) -> None:
        """Apply the newest record of each key; keys without a record were removed."""
        listed = {record.key for record in records}
        newest = max((r.offset for r in records), default=-1)
        for key in [k for k in self._offsets if k not in listed]:
            self.apply(LogRecord(key, None, max(newest, self._offsets[key] + 1)))
        for record in sorted(records, key=lambda r: r.offset):
            self.apply(record)

    def apply(self, record: LogRecord) -> None:
        """Apply one record."""
        if record.offset <= self._offsets.get(record.key, -1):
            return
        self._offsets[record.key] = record.offset
        self.view.operator_revision = max(self.view.operator_revision, record.offset)
        if record.value is None:
            self._remove(record)
            return
        try:
            decision = self.codec.read_decision(record)
        except MalformedMessageError as error:
            self.log.write(
                Event.RECORD_UNREADABLE,
                key=record.key,
                offset=record.offset,
                detail=str(error),
            )
            return
        if isinstance(decision, Catalogue):
            self.view.catalogue = decision
            self._log_unpriced(decision)
        elif isinstance(decision, ZoneOut):
            self.view.zones_out[decision.availability_zone] = record.offset
        elif isinstance(decision, RolloutSpec):
            self.view.orders[decision.service] = RolloutOrder(
                service=decision.service,
                target=decision.target,
                duration_s=decision.duration_s,
                revision=record.offset,
                seen_s=asyncio.get_running_loop().time(),
            )
        self.log.write(
            Event.DECISION_KNOWN,
            key=record.key,
            revision=record.offset,
            version=decision.version if isinstance(decision, Catalogue) else None,
        )

    def _log_unpriced(self, catalogue: Catalogue) -> None:
        """Log the models without a price, whose cost is taken as zero."""
        for route in catalogue.routes:
            for share in route.shares:
                service = catalogue.services.get(share.service)
                costs = service.model_costs if service is not None else {}
                unpriced = [name for name in route.model_sizes if name not in costs]
                if unpriced:
                    self.log.write(
                        Event.MODEL_WITHOUT_PRICE,
                        route=route.name,
                        service=share.service,
                        models=unpriced,
                    )

    def _remove(self, record: LogRecord) -> None:
        zone = self.codec.removed_zone(record.key)
        if zone is not None:
            self.view.zones_out.pop(zone, None)
        service = self.codec.removed_rollout(record.key)
        if service is not None:
            self.view.orders.pop(service, None)
        self.log.write(Event.DECISION_REMOVED, key=record.key, revision=record.offset)
