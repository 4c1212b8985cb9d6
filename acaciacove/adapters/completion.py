"""Parsing of chat completions, with a check of the request that they answer."""

from typing import Any

import orjson
from attrs import frozen

from acaciacove.adapters.engine_finish import EngineFinish
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal

COMPLETION_ID = "chatcmpl-"


@frozen
class Completion:
    """A complete chat completion, or one event of a stream."""

    text: str
    finish_reason: str | None
    usage: dict[str, Any]


def read_completion(data: bytes, request_id: str) -> Completion | Refusal:
    """Parse a completion; a refusal when it is malformed or for another request."""
    try:
        document = orjson.loads(data)
        answer_id = document["id"]
        choices = document["choices"]
        choice = choices[0] if choices else {}
        content = choice.get("delta") or choice.get("message") or {}
        completion = Completion(
            text=content.get("content") or "",
            finish_reason=choice.get("finish_reason"),
            usage=document.get("usage") or {},
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Refusal(Reason.ENDPOINT_FAILED, False, f"malformed answer: {error!r}")
    if answer_id != COMPLETION_ID + request_id:
        return Refusal(
            Reason.ANSWER_MISMATCH, False, f"the answer's id is {answer_id!r}"
        )
    return completion


def build_finish(finish_reason: str, usage: dict[str, Any]) -> EngineFinish:
    """Build the finish event from a usage object; missing counts become 0."""
    details = usage.get("prompt_tokens_details") or {}
    return EngineFinish(
        finish_reason=finish_reason,
        prompt_tokens=int(usage.get("prompt_tokens") or 0),
        completion_tokens=int(usage.get("completion_tokens") or 0),
        cached_tokens=int(details.get("cached_tokens") or 0),
    )
