"""Follows the platform's list of instances."""

import asyncio
from collections.abc import Callable
from contextlib import suppress

from acaciacove.errors import PlatformUnavailableError
from acaciacove.fleet.instance import Instance
from acaciacove.platform.instance_list import InstanceList

POLL_S = 1.0


async def follow_instances(
    listing: InstanceList, on_list: Callable[[list[Instance]], None]
) -> None:
    """Fetch the list again and again; an outage keeps the last one in use."""
    while True:
        with suppress(PlatformUnavailableError):
            on_list(await listing.fetch())
        await asyncio.sleep(POLL_S)
