"""Interface of the platform's answer-rating service."""

from typing import Protocol

from acaciacove.adapters.rating import Rating


class RatingService(Protocol):
    """Rates a sample of answers, with a delay; some are never rated."""

    async def submit(
        self, request_id: str, version: str, request_class: str, answer: str
    ) -> None:
        """Submit an answer that may be rated."""
        ...

    async def fetch(self, after_sequence: int, limit: int) -> list[Rating]:
        """Return ratings with a sequence number above ``after_sequence``."""
        ...
