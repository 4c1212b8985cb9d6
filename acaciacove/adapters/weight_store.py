"""Interface of the platform's rate-limited weight store."""

from typing import Protocol


class WeightStore(Protocol):
    """Grants permits to load model weights; refuses too many at the same time."""

    async def acquire(self, weights: str) -> float:
        """Request a load permit: 0 when granted, else the seconds until a retry."""
        ...
