"""The status of a gateway as JSON, built at a bounded rate."""

import asyncio

from acaciacove.gateway.gateway import Gateway

# A report on 600 endpoints takes 9 to 15 ms of processor time, and a gateway has 30 ms
# per second for all its control work. However many clients ask, at most one report is
# built in this time.
REBUILD_EVERY_S = 1.0


class StatusPage:
    """The page that ``GET /status`` answers; it is at most ``REBUILD_EVERY_S`` old."""

    def __init__(self, gateway: Gateway) -> None:
        """Build the first page when it is asked for."""
        self._gateway = gateway
        self._built_s = float("-inf")
        self._page = b""

    def read(self) -> bytes:
        """Return the status as JSON."""
        now_s = asyncio.get_running_loop().time()
        if now_s - self._built_s >= REBUILD_EVERY_S:
            self._page = self._build()
            self._built_s = now_s
        return self._page

    def _build(self) -> bytes:
        # A start does not need the report, so its module is imported when it is.
        from acaciacove.gateway.gateway_status import encode_status, gateway_status

        return encode_status(gateway_status(self._gateway))
