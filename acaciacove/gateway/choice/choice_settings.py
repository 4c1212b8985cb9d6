"""Weights for the choice among endpoints and model sizes."""

from attrs import frozen


@frozen
class ChoiceSettings:
    """Costs that a choice adds up, in milliseconds of waiting.

    Only their ratios matter.
    """

    # Weight of a second of prefill relative to a second of waiting: it also delays the
    # requests behind it.
    reading_weight: float = 2.0
    # Cost of processing 1,000 tokens apart from the time: they displace other prompts
    # from the endpoint's cache, whatever the model.
    memory_ms_per_1k: float = 60.0
    # Cost of one more request in an endpoint's batch apart from the longer queue: it
    # slows all others a little.
    request_ms: float = 25.0
    # Expected share of a shared part that is cached at its preferred endpoint although
    # this gateway has not sent it there.
    home_share: float = 0.6
    # For services without model prices: a request to another zone counts as this many
    # queued ones.
    other_zone_requests: float = 0.3
    # An endpoint at which a connection broke recently counts as having this many more
    # requests: enough to avoid it while others are about as busy.
    suspect_requests: float = 8.0
