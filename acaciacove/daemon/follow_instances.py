"""Periodic fetch of the platform's instance list."""

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
    """Fetch the list periodically; during an outage the last list stays in use."""
    interval_s = MIN_FETCH_INTERVAL_S
    while True:
        with suppress(PlatformUnavailableError):
            instances = await instance_list.fetch()
            on_list(instances)
            interval_s = list_fetch_interval_s(len(instances))
        await asyncio.sleep(interval_s)


def list_fetch_interval_s(instance_count: int) -> float:
    """Return the interval between fetches of a list with ``instance_count`` items.

    Fetched every second, a list of a thousand instances would cost every process
    200 kB/s. A process learns of removed endpoints sooner in other ways: a draining
    endpoint refuses requests, and attempts on a lost one fail.
    """
    return max(
        MIN_FETCH_INTERVAL_S, instance_count * BYTES_PER_INSTANCE / MAX_LIST_BYTES_PER_S
    )
