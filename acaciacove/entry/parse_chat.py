"""Parses the body of a chat request; every invalid body gets a typed refusal."""

from typing import Any

import orjson

from acaciacove.entry.chat_body import ChatBody
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal

# Estimate for requests without max_tokens; sidecars correct it.
DEFAULT_MAX_TOKENS = 64
MAX_TOKENS_LIMIT = 1_000_000
MAX_MESSAGES = 10_000


def parse_chat(body: bytes) -> ChatBody | Refusal:
    """Parse and validate a chat completion request."""
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return _malformed(f"the body is not JSON: {error}")
    if not isinstance(document, dict):
        return _malformed("the body must be a JSON object")
    validation_error = _validation_error(document)
    if validation_error:
        return _malformed(validation_error)
    texts = [_text(message) for message in document["messages"]]
    return ChatBody(
        model=document["model"],
        stream=document.get("stream", False),
        prompt_chars=sum(len(text) for text in texts),
        max_tokens=document.get("max_tokens") or DEFAULT_MAX_TOKENS,
        first_message=texts[0],
        document=document,
    )


def _validation_error(document: dict[str, Any]) -> str:
    """Return the error of the first invalid field, or an empty string."""
    model = document.get("model")
    if not isinstance(model, str) or not model:
        return "model: must be the name of an API or model@version"
    if not isinstance(document.get("stream", False), bool):
        return "stream: must be true or false"
    max_tokens = document.get("max_tokens")
    if max_tokens is not None and not _is_count(max_tokens):
        return f"max_tokens: must be a whole number from 1 to {MAX_TOKENS_LIMIT}"
    messages = document.get("messages")
    if not isinstance(messages, list) or not 0 < len(messages) <= MAX_MESSAGES:
        return f"messages: must be a list of 1 to {MAX_MESSAGES} messages"
    for index, message in enumerate(messages):
        validation_error = _message_error(message)
        if validation_error:
            return f"messages[{index}]{validation_error}"
    return ""


def _message_error(message: Any) -> str:
    if not isinstance(message, dict):
        return ": must be an object"
    if not isinstance(message.get("role"), str):
        return ".role: must be a text"
    if not isinstance(message.get("content"), str | list | None):
        return ".content: must be a text or a list of parts"
    return ""


def _is_count(value: Any) -> bool:
    """Return whether ``value`` is an integer in range; booleans are excluded."""
    if isinstance(value, bool) or not isinstance(value, int):
        return False
    return 0 < value <= MAX_TOKENS_LIMIT


def _text(message: dict[str, Any]) -> str:
    """Return the text of a message, with its parts joined."""
    content = message.get("content")
    if isinstance(content, str):
        return content
    parts = [part for part in content or () if isinstance(part, dict)]
    return "".join(str(part.get("text", "")) for part in parts)


def _malformed(detail: str) -> Refusal:
    return Refusal(Reason.MALFORMED_REQUEST, not_run=True, detail=detail)
