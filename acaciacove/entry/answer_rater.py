"""Submits a sample of the answers to the rating service."""

import asyncio
from random import Random

from attrs import define, field

from acaciacove.adapters.rating_service import RatingService
from acaciacove.errors import PlatformUnavailableError
from acaciacove.fleet.version_id import VersionId

MAX_PENDING = 32
MAX_ANSWER_CHARS = 8192


@define(eq=False)
class AnswerRater:
    """Submits answers in the background, so ratings never delay or lose an answer.

    ``share`` is the fraction of answers to submit; trial answers are always
    submitted.
    """

    service: RatingService | None
    share: float
    rng: Random
    _pending: set[asyncio.Task[None]] = field(factory=set)

    def offer(
        self,
        request_id: str,
        version: VersionId,
        rated_class: str,
        answer: bytes,
        is_trial: bool = False,
    ) -> None:
        """Submit an answer if it is sampled and fewer than MAX_PENDING are pending."""
        if self.service is None or len(self._pending) >= MAX_PENDING:
            return
        if not is_trial and self.rng.random() >= self.share:
            return
        text = answer.decode("utf-8", "replace")[:MAX_ANSWER_CHARS]
        task = asyncio.create_task(
            self._submit(self.service, request_id, version, rated_class, text)
        )
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)

    async def _submit(
        self,
        service: RatingService,
        request_id: str,
        version: VersionId,
        rated_class: str,
        text: str,
    ) -> None:
        try:
            await service.submit(request_id, str(version), rated_class, text)
        except PlatformUnavailableError:
            return
