"""Follows the release stream of the platform's log."""

import asyncio
from collections.abc import Callable

from acaciacove.errors import OffsetExpiredError, PlatformUnavailableError
from acaciacove.platform.platform_log import PlatformLog
from acaciacove.state.fleet_holder import FleetHolder
from acaciacove.state.record import RELEASE_STREAM

READ_LIMIT = 256
WAIT_S = 10.0
PAUSE_S = 0.2


async def follow_release(
    log: PlatformLog, holder: FleetHolder, on_change: Callable[[], None]
) -> None:
    """Read the stream and fold it; outages are waited out."""
    next_offset = 0
    while True:
        try:
            entries = await log.read(RELEASE_STREAM, next_offset, READ_LIMIT, WAIT_S)
        except OffsetExpiredError as expired:
            next_offset = expired.earliest_offset
            continue
        except PlatformUnavailableError:
            await asyncio.sleep(PAUSE_S)
            continue
        if entries:
            next_offset = entries[-1].offset + 1
            holder.offer(entries)
            on_change()
        else:
            await asyncio.sleep(PAUSE_S)
