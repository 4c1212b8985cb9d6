"""Paces loads of weights against the weight store's rate limit."""

import asyncio
from collections.abc import Callable
from random import Random

from acaciacove.adapters.weight_store import WeightStore
from acaciacove.errors import PlatformUnavailableError
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal
from acaciacove.state.backoff import Backoff

INITIAL_RETRY_S = 0.5
MAX_RETRY_S = 30.0
MAX_JITTER_SHARE = 0.25


async def wait_for_permit(
    store: WeightStore,
    weights: str,
    find_refusal: Callable[[], Refusal | None],
    deadline_s: float,
    random: Random,
) -> Refusal | None:
    """Wait until the store lets a load start; None means that it may start now.

    ``find_refusal`` is asked again after each wait, such as whether the order's
    fencing number still holds: a load that was overtaken while it waited would use
    the store up and put the wrong version in place. ``deadline_s`` is the loop's
    time. Jitter keeps sidecars that wait for one store from asking as one.
    """
    loop = asyncio.get_running_loop()
    backoff = Backoff(random, INITIAL_RETRY_S, MAX_RETRY_S)
    while True:
        refusal = find_refusal()
        if refusal is not None:
            return refusal
        try:
            wait_s = await store.acquire(weights)
        except PlatformUnavailableError:
            wait_s = backoff.next_delay_s()
        if wait_s <= 0.0:
            return find_refusal()
        wait_s *= random.uniform(1.0, 1.0 + MAX_JITTER_SHARE)
        if loop.time() + wait_s > deadline_s:
            detail = f"no permit to load {weights} in time"
            return Refusal(Reason.OVERLOADED, True, detail, wait_s)
        await asyncio.sleep(wait_s)
