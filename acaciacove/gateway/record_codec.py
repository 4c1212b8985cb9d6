"""The encoding of log records on one platform."""

from collections.abc import Callable

from attrs import frozen

from acaciacove.gateway.catalogue.rollout_status import RolloutStatus
from acaciacove.gateway.endpoint_report import EndpointReport
from acaciacove.gateway.log_record import LogRecord
from acaciacove.gateway.operator_decision import OperatorDecision


@frozen
class RecordCodec:
    """Functions that convert between records and typed values.

    Readers return None for a record of another kind and raise MalformedMessageError for
    one that cannot be decoded. ``removed_zone`` and ``removed_rollout`` return the zone
    or service whose decision the removal of a key revokes.
    """

    read_decision: Callable[[LogRecord], OperatorDecision | None]
    removed_zone: Callable[[str], str | None]
    removed_rollout: Callable[[str], str | None]
    read_endpoint: Callable[[LogRecord], EndpointReport]
    read_outcome: Callable[[LogRecord], RolloutStatus | None]
    write_outcome: Callable[[RolloutStatus], tuple[str, bytes]]
