"""The body of a chat request, as far as routing reads it."""

from typing import Any

from attrs import frozen


@frozen
class ChatBody:
    """The checked fields of a chat completion request; ``document`` is all of it."""

    model: str
    stream: bool
    prompt_chars: int
    max_tokens: int
    first_message: str
    document: dict[str, Any]
