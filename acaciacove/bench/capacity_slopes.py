"""Everything that the capacity measurements bring, in one value."""

from attrs import frozen

from acaciacove.bench.capacity_appends import AppendCost
from acaciacove.bench.capacity_billing import BillCost
from acaciacove.bench.capacity_claims import ClaimCost
from acaciacove.bench.capacity_codec import CodecCost
from acaciacove.bench.capacity_decisions import DecisionCost
from acaciacove.bench.capacity_memory import MemorySlopes, ResidentSizes
from acaciacove.bench.capacity_polling import PollCost
from acaciacove.bench.capacity_relay import RelayCost
from acaciacove.bench.capacity_spread import SpreadLoad


@frozen
class CapacitySlopes:
    """Measured costs; ``relay`` is None when no processes were started."""

    memory: MemorySlopes
    resident: ResidentSizes
    connection_bytes: float
    decisions: list[DecisionCost]
    codec: list[CodecCost]
    polls: list[PollCost]
    claims: ClaimCost
    bills: BillCost
    appends: list[AppendCost]
    spread: list[SpreadLoad]
    relay: RelayCost | None
