"""Delays loads of weights to respect the rate limit of the weight store."""

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
    """Wait until the store permits a load; None means that it may start now.

    ``find_refusal`` is called again after each wait, for example to check whether the
    fencing number of the order is still valid. A load that was superseded while it
    waited would use up the rate limit of the store and install the wrong version.
    ``deadline_s`` is a time of the event loop. Jitter prevents synchronised requests
    of the sidecars that wait for one store.
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
