"""Cheap classification of a request from its headers and body features."""

from acaciacove.fleet.api import Api
from acaciacove.fleet.api_kind import ApiKind

SHORT_PROMPT_TOKENS = 256
LONG_PROMPT_TOKENS = 2048
BYTES_PER_TOKEN = 4
SERVICE_CLASS = "call"


def estimate_prompt_tokens(body_bytes: int) -> int:
    """Guess the prompt's tokens from its size; engines report the true number."""
    return max(1, body_bytes // BYTES_PER_TOKEN)


def classify_request(api: Api, prompt_tokens: int, batch: bool) -> str:
    """Name the class of a request; ratings are learned per class.

    The name is part of what the rating service keeps, so it stays stable.
    """
    if api.kind is ApiKind.SERVICE:
        return SERVICE_CLASS
    return f"{'batch' if batch else 'interactive'}-{_size_class(prompt_tokens)}"


def _size_class(prompt_tokens: int) -> str:
    if prompt_tokens < SHORT_PROMPT_TOKENS:
        return "short"
    if prompt_tokens < LONG_PROMPT_TOKENS:
        return "medium"
    return "long"
