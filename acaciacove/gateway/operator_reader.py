"""Applies the operator's records to the routing view."""

import asyncio
from collections.abc import Iterable

from attrs import define, field

from acaciacove.errors import MalformedMessageError
from acaciacove.gateway.catalogue.catalogue import Catalogue
from acaciacove.gateway.catalogue.rollout_order import RolloutOrder
from acaciacove.gateway.choice.stable_hash import stable_hash32
from acaciacove.gateway.event_log import EventLog
from acaciacove.gateway.log_events import Event
from acaciacove.gateway.log_reading import LogReading
from acaciacove.gateway.log_record import LogRecord
from acaciacove.gateway.operator_decision import RolloutSpec, ZoneOut
from acaciacove.gateway.record_codec import RecordCodec
from acaciacove.gateway.routing_view import RoutingView

# Operators write again what the log lost when it returned from a copy. For this long,
# what the copy lacks, or has another order of, is not taken for the newest decision.
REASSERTION_S = 2.2


def order_id(spec: RolloutSpec) -> int:
    """Return the id of an order, the same at all gateways and in all eras."""
    return stable_hash32(f"{spec.service}/{spec.target}/{spec.duration_s}")


@define(eq=False)
class OperatorReader:
    """Applies records in offset order and ignores those older than a known one.

    Offsets compare within one era of the log. A catalogue also has a version of its
    own, and an older one is never applied.
    """

    view: RoutingView
    codec: RecordCodec
    log: EventLog
    _offsets: dict[str, int] = field(factory=dict)
    _deferred: dict[str, LogRecord] = field(factory=dict)
    _deferred_until_boot_s: float = float("-inf")

    def apply_reading(self, reading: LogReading) -> None:
        """Apply the result of one read of the stream."""
        if reading.is_restored:
            self._apply_restored(reading.page.records)
        elif reading.is_snapshot:
            self.apply_snapshot(reading.page.records)
        else:
            for record in reading.page.records:
                self.apply(record)
        if self.view.clock_s() >= self._deferred_until_boot_s:
            self._apply_deferred()
        self.view.operator_era = reading.page.era
        self.view.confirm(reading.complete_boot_s)

    def apply_snapshot(self, records: tuple[LogRecord, ...]) -> None:
        """Apply the newest record of each key; keys without a record were removed."""
        listed = {record.key for record in records}
        newest = max((r.offset for r in records), default=-1)
        missing = self._offsets.keys() - listed - self._deferred.keys()
        for key in missing:
            self.apply(LogRecord(key, None, max(newest, self._offsets[key] + 1)))
        self._apply_in_order(records)

    def _apply_restored(self, records: tuple[LogRecord, ...]) -> None:
        """Apply the first snapshot after the log has returned from a copy.

        Known offsets mean nothing from now on. What the copy lacks may not have been
        written again yet, and an order that differs from the known one may be older.
        """
        known = set(self._offsets)
        self._offsets = dict.fromkeys(known, -1)
        self._deferred = {}
        self._deferred_until_boot_s = self.view.clock_s() + REASSERTION_S
        self.view.operator_revision = max((r.offset for r in records), default=-1)
        for key in known - {record.key for record in records}:
            self._defer(LogRecord(key, None, -1))
        for record in records:
            if self._is_other_order(record):
                self._defer(record)
        self._apply_in_order(records)

    def _apply_in_order(self, records: Iterable[LogRecord]) -> None:
        for record in sorted(records, key=lambda r: r.offset):
            if self._deferred.get(record.key) != record:
                self.apply(record)

    def _is_other_order(self, record: LogRecord) -> bool:
        """Return whether a record holds another order than the known one."""
        service = self.codec.removed_rollout(record.key)
        known = self.view.orders.get(service) if service is not None else None
        if known is None:
            return False
        try:
            spec = self.codec.read_decision(record)
        except MalformedMessageError:
            # Logged when it is applied.
            return False
        return isinstance(spec, RolloutSpec) and order_id(spec) != known.order_id

    def _defer(self, record: LogRecord) -> None:
        self._deferred[record.key] = record
        self.log.write(
            Event.DECISION_DEFERRED,
            key=record.key,
            revision=record.offset,
            removed=record.value is None,
        )

    def _apply_deferred(self) -> None:
        """Apply what was not written again in time."""
        deferred, self._deferred = self._deferred, {}
        for key, record in deferred.items():
            if record.value is not None:
                self.apply(record)
            elif self._offsets.pop(key, None) is not None:
                self._remove(record)

    def apply(self, record: LogRecord) -> None:
        """Apply one record."""
        if record.offset <= self._offsets.get(record.key, -1):
            return
        self._offsets[record.key] = record.offset
        self._deferred.pop(record.key, None)
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
            if self._is_superseded(decision):
                return
            self.view.catalogue = decision
            self._log_unpriced(decision)
        elif isinstance(decision, ZoneOut):
            self.view.zones_out[decision.availability_zone] = record.offset
        elif isinstance(decision, RolloutSpec):
            self._apply_order(decision)
        self.log.write(
            Event.DECISION_KNOWN,
            key=record.key,
            revision=record.offset,
            version=decision.version if isinstance(decision, Catalogue) else None,
        )

    def _is_superseded(self, catalogue: Catalogue) -> bool:
        """Return whether a later version is in force, and log it.

        A log that has returned from a copy holds an old version until the operator has
        written the newest one again, perhaps after others.
        """
        known = self.view.catalogue
        if known is None or catalogue.version >= known.version:
            return False
        self.log.write(
            Event.DECISION_SUPERSEDED,
            revision=catalogue.revision,
            version=catalogue.version,
            in_force=known.version,
        )
        return True

    def _apply_order(self, spec: RolloutSpec) -> None:
        """Apply an order; one that is written again goes on as it began."""
        known = self.view.orders.get(spec.service)
        if known is not None and known.order_id == order_id(spec):
            return
        self.view.orders[spec.service] = RolloutOrder(
            service=spec.service,
            target=spec.target,
            duration_s=spec.duration_s,
            order_id=order_id(spec),
            seen_s=asyncio.get_running_loop().time(),
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
        if zone is not None and self.view.zones_out.pop(zone, None) is not None:
            self.view.zones_back_s[zone] = asyncio.get_running_loop().time()
        service = self.codec.removed_rollout(record.key)
        if service is not None:
            self.view.orders.pop(service, None)
        self.log.write(Event.DECISION_REMOVED, key=record.key, revision=record.offset)
