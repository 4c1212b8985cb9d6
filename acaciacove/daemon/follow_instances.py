"""Follows the platform's list of instances."""

import asyncio
from collections.abc import Callable
from contextlib import suppress

from acaciacove.adapters.instance_list import InstanceList
from acaciacove.errors import PlatformUnavailableError
from acaciacove.fleet.instance import Instance

MIN_FETCH_INTERVAL_S = 1.0
MAX_LIST_BYTES_PER_S = 1500.0
BYTES_PER_INSTANCE = 206.0


async def follow_instances(
    instance_list: InstanceList, on_list: Callable[[list[Instance]], None]
) -> None:
    """Fetch the list again and again; an outage keeps the last one in use."""
    interval_s = MIN_FETCH_INTERVAL_S
    while True:
        with suppress(PlatformUnavailableError):
            instances = await instance_list.fetch()
            on_list(instances)
            interval_s = list_fetch_interval_s(len(instances))
        await asyncio.sleep(interval_s)


def list_fetch_interval_s(instance_count: int) -> float:
    """Return how long to wait before a list of this length is fetched again.

    Fetched each second, a list of a thousand instances would take 200 kB/s of every
    process. A process is told of departures sooner by other means: a leaving
    endpoint refuses work itself, and a lost one fails its attempts.
    """
    return max(
        MIN_FETCH_INTERVAL_S, instance_count * BYTES_PER_INSTANCE / MAX_LIST_BYTES_PER_S
    )
