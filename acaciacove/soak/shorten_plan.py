"""Reduces a plan to a small set of faults that still breaks a promise."""

from collections.abc import Awaitable, Callable, Sequence

# Timing differs between runs: a subset counts as harmless only after this many runs.
RUNS_PER_SUBSET = 2

IsBroken = Callable[[Sequence[int]], Awaitable[bool]]


async def shorten_plan(numbers: Sequence[int], is_broken: IsBroken) -> list[int]:
    """Return a small subset of these faults that still breaks a promise.

    Delta debugging: halves are removed as long as the rest still breaks a promise,
    then quarters, down to single faults. At the end no single remaining fault could
    be removed: without any one of them no promise was broken.
    """
    kept = list(numbers)
    size = len(kept) // 2
    while size >= 1:
        for begin in range(0, len(kept), size):
            rest = kept[:begin] + kept[begin + size :]
            if rest and await _breaks(rest, is_broken):
                kept = rest
                break
        else:
            size //= 2
            continue
        size = min(size, len(kept) // 2)
    return kept


async def _breaks(numbers: Sequence[int], is_broken: IsBroken) -> bool:
    for _ in range(RUNS_PER_SUBSET):
        if await is_broken(numbers):
            return True
    return False
