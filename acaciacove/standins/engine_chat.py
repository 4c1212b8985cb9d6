"""Generation of one answer by the engine stand-in."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

from attrs import define

from acaciacove.standins.engine_state import EngineState
from acaciacove.standins.engine_text import generated_tokens, prompt_words
from acaciacove.standins.faults import consume_fault

COMPLETION_ID = "chatcmpl-"
FOREIGN_ID = "request-of-someone-else"
DONE = b"data: [DONE]\n\n"
GARBAGE = b"<html>bad gateway</html>\n\n"
CONTENT_PLACEHOLDER = "acaciacove-content-place"


class EngineCrashedError(Exception):  # noqa: N818
    """The engine crashed while it generated this answer."""


@define
class Chat:
    """One answer that is being generated."""

    request_id: str
    answer_id: str
    version: str
    tokens: list[str]
    prompt_tokens: int
    cached_tokens: int
    resume_from: int
    incarnation: int
    stop_after: int | None = None

    def usage(self) -> dict[str, Any]:
        """Return the usage object; resumed tokens count as completion tokens."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": len(self.tokens),
            "total_tokens": self.prompt_tokens + len(self.tokens),
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        }


def prepare(state: EngineState, request_id: str, body: dict[str, Any]) -> Chat:
    """Look the prompt up in the cache and determine the complete answer."""
    version = str(body["model"])
    words = prompt_words(body)
    crossed = consume_fault(state.faults, "crossed")
    cut = consume_fault(state.faults, "truncated")
    return Chat(
        request_id=request_id,
        answer_id=COMPLETION_ID + (FOREIGN_ID if crossed else request_id),
        version=version,
        tokens=generated_tokens(version, body),
        prompt_tokens=len(words),
        cached_tokens=state.cache.lookup(version, words),
        resume_from=int(body.get("resume_from_tokens") or 0),
        incarnation=state.incarnation,
        stop_after=state.faults.after_tokens if cut else None,
    )


async def generate(state: EngineState, chat: Chat) -> AsyncIterator[str]:
    """Generate tokens at the speed of the batch.

    Raises EngineCrashedError when the engine crashes meanwhile.
    """
    uncached = chat.prompt_tokens - chat.cached_tokens
    await asyncio.sleep(uncached * state.profile.prefill_token_s)
    for number, token in enumerate(chat.tokens[chat.resume_from :]):
        await asyncio.sleep(state.token_time_s())
        if state.incarnation != chat.incarnation:
            raise EngineCrashedError
        if number == chat.stop_after:
            return
        state.counters.tokens += 1
        state.counters.tokens_by_version[chat.version] += 1
        yield token
