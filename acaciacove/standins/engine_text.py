"""The deterministic text that an engine stand-in generates."""

import hashlib
from random import Random
from typing import Any

import orjson

WORDS = ("creek", "clear", "water", "level", "shade", "rope", "bridge", "gauge")
MIN_TOKENS = 12
MAX_TOKENS = 40
MAX_TOKENS_FIELD = "max_tokens"


def generated_tokens(version: str, body: dict[str, Any]) -> list[str]:
    """Return the tokens of the complete answer of a version to a request.

    The answer depends only on the version, the messages and ``max_tokens``, so that
    a test can check from the request whether an answer is complete.
    """
    messages = orjson.dumps([version, body.get("messages", [])])
    random = Random(hashlib.sha256(messages).digest())
    count = int(body.get(MAX_TOKENS_FIELD) or random.randint(MIN_TOKENS, MAX_TOKENS))
    return [random.choice(WORDS) + " " for _ in range(count)]


def prompt_words(body: dict[str, Any]) -> list[str]:
    """Split the messages of a request into words, which count as prompt tokens."""
    words: list[str] = []
    for message in body.get("messages", []):
        words.extend(str(message.get("content", "")).split())
    return words
