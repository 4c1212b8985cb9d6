"""Finds few faults of a plan that still break a promise."""

from collections.abc import Awaitable, Callable, Sequence

# Runs differ in time: a part of a plan counts as harmless only after this many.
RUNS_PER_SUBSET = 2

IsBroken = Callable[[Sequence[int]], Awaitable[bool]]


async def shorten_plan(numbers: Sequence[int], is_broken: IsBroken) -> list[int]:
    """Return few of these faults that still break a promise together.

    Halves are left out as long as what remains still breaks one, then quarters, down
    to single faults; without any of those that are left, nothing was broken.
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
