"""Price of an answer, and the id under which a request is billed."""

from acaciacove.fleet.version import Version
from acaciacove.state.claim_key import claim_key

TOKENS_PER_PRICE_UNIT = 1000.0


def price(version: Version, prompt_tokens: int, completion_tokens: int) -> float:
    """Return the price of an answer: per token for models, per call for services."""
    tokens = prompt_tokens + completion_tokens
    if tokens == 0:
        return version.cost_per_1k_tokens
    return version.cost_per_1k_tokens * tokens / TOKENS_PER_PRICE_UNIT


def billing_id(
    request_id: str, organisation: str, api: str, idempotency_key: str
) -> str:
    """Return the id under which a request is billed.

    Retries of a non-repeatable call are one request to the caller. They share the id
    that is derived from their key, since only the first record for an id counts.
    """
    if not idempotency_key:
        return request_id
    return claim_key(organisation, api, idempotency_key)
