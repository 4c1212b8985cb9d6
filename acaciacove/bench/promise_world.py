"""What all processes of a promise run share."""

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

from attrs import define, field

from acaciacove.bench.faulty_log import FaultyLog
from acaciacove.bench.promise_counts import PromiseCounts
from acaciacove.bench.promise_network import PromiseNetwork
from acaciacove.bench.promise_truth import GRACE_S, PromiseTruth
from acaciacove.errors import PlatformUnavailableError
from acaciacove.fleet.instance import Instance

UNIX_S = 1_800_000_000.0


@define(eq=False)
class PromiseWorld:
    """Log, network, processes, and the counters; ``broken`` names a mechanism."""

    seed: int
    random: Random
    log: FaultyLog
    network: PromiseNetwork
    truth: PromiseTruth
    counts: PromiseCounts
    broken: str = ""
    listed: Callable[[], list[Instance]] = list
    processes: dict[str, Any] = field(factory=dict)
    effects: Counter[str] = field(factory=Counter)
    told_not_run: set[str] = field(factory=set)
    ran: set[str] = field(factory=set)
    log_readers: set[str] | None = None
    cut_until_s: dict[str, float] = field(factory=dict)
    unavailable: type[PlatformUnavailableError] = PlatformUnavailableError

    def can_reach_log(self, name: str) -> bool:
        """Tell whether a process can speak to the log."""
        if self.log_readers is not None and name not in self.log_readers:
            return False
        return not self.network.is_cut(name, "log")

    def was_cut(self, zone: str, now_s: float) -> bool:
        """Tell whether a zone is cut off, or was until a few seconds ago.

        Nobody can tell a cut-off zone anything. What it does meanwhile, on the
        state that it had, breaks no promise that a message could have kept.
        """
        if zone in self.network.cut_off:
            return True
        return now_s - self.cut_until_s.get(zone, -GRACE_S) < GRACE_S

    def cut_error(self) -> PlatformUnavailableError:
        """Return the error of a log that is out of reach."""
        return PlatformUnavailableError("cut off")
