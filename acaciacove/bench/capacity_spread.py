"""What the spread of releases costs one process, by the number of processes."""

from time import process_time

from attrs import frozen

from acaciacove.bench.spread_cost import SETTLE_S, measure_spread

HOLDERS = (10, 100, 1000)
RUN_S = 2 * SETTLE_S


@frozen
class SpreadLoad:
    """Bytes sent and processor time of one process, and the time to reach all.

    Nobody reads the log meanwhile: one process has the note, the others get it
    from each other, over a network that loses two messages in a hundred.
    ``core_share`` includes the simulated network, so it is too high by a little.
    """

    holders: int
    idle_bytes_per_s: float
    busiest_bytes_per_s: float
    busiest_second_bytes: int
    core_share: float
    all_in_force_s: float


def measure_spread_load(seed: int) -> list[SpreadLoad]:
    """Measure fleets of growing size."""
    return [_measure(holders, seed) for holders in HOLDERS]


def _measure(holders: int, seed: int) -> SpreadLoad:
    started_s = process_time()
    cost = measure_spread(holders, seed)
    cpu_s = process_time() - started_s
    return SpreadLoad(
        holders=holders,
        idle_bytes_per_s=round(cost.idle_bytes_per_s, 1),
        busiest_bytes_per_s=round(cost.peak_bytes_per_s, 1),
        busiest_second_bytes=cost.busiest_second_bytes,
        core_share=round(cpu_s / holders / RUN_S, 6),
        all_in_force_s=round(cost.all_in_force_s, 3),
    )
