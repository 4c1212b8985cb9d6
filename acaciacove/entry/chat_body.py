"""The fields of a chat request that routing uses."""

from typing import Any

from attrs import frozen


@frozen
class ChatBody:
    """Validated fields of a chat completion request; ``document`` is the whole body."""

    model: str
    stream: bool
    prompt_chars: int
    max_tokens: int
    first_message: str
    document: dict[str, Any]
