"""Interface of the platform's instance list."""

from typing import Protocol

from acaciacove.fleet.instance import Instance


class InstanceList(Protocol):
    """Eventually consistent list of live and draining instances."""

    async def fetch(self) -> list[Instance]:
        """Return the current list; raises PlatformUnavailableError."""
        ...
