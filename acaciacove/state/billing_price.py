"""What an answer costs, and under which id it is billed."""

from acaciacove.fleet.version import Version
from acaciacove.state.claim_key import claim_key

TOKENS_PER_PRICE_UNIT = 1000.0


def price(version: Version, prompt_tokens: int, completion_tokens: int) -> float:
    """Price an answer: by tokens for models, by call for services."""
    tokens = prompt_tokens + completion_tokens
    if tokens == 0:
        return version.cost_per_1k_tokens
    return version.cost_per_1k_tokens * tokens / TOKENS_PER_PRICE_UNIT


def billing_id(
    request_id: str, organisation: str, api: str, idempotency_key: str
) -> str:
    """Return the id that a request is billed under.

    Retries of a call that may not be repeated are one request to the caller, and
    share the id of their key: only the first record for an id counts.
    """
    if not idempotency_key:
        return request_id
    return claim_key(organisation, api, idempotency_key)
