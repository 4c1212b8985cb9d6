"""Weights of the choice among endpoints and model sizes."""

from attrs import frozen


@frozen
class ChoiceSettings:
    """Costs in milliseconds of waiting that a choice weighs against each other.

    Each is a trade between waits, so only their ratios matter.
    """

    # What a second of reading weighs beside a second of waiting: it delays whoever comes
    # behind.
    reading_weight: float = 2.0
    # What reading 1,000 tokens costs beside its time: they take the place of prompts
    # that the endpoint holds, whatever the model that reads them.
    memory_ms_per_1k: float = 60.0
    # One more request in an endpoint's batch slows all of them by about 2.5% and
    # delays them by its own prompt; 30 ms is what one added to a first token.
    request_ms: float = 25.0
    # What a request to another zone costs beside its millisecond of travel: bytes
    # between zones are paid for. At 20 ms a calm day moved 15 MB between zones
    # and at 60 ms 12 MB with the same answers; at 400 ms shares in time fell.
    other_zone_ms: float = 200.0
    # The share of a shared part's reading that is expected to be spared at the
    # endpoint that all gateways prefer for it, though this one has not sent it.
    home_share: float = 0.6
    # Plain services: a request in another zone counts as this many waiting ones.
    other_zone_requests: float = 0.3
    # An endpoint of which a connection has just broken counts as this many
    # requests more: enough to pass it over while others are about as busy.
    suspect_requests: float = 8.0
    # Confidence below which a small model's answer is dropped for a larger one. Of
    # 35, 45, 50, 55, 58, 60, 65 and 75, this gave callers most for what the models
    # cost on calm days; at 35 eight in a hundred answers were too poor, at 75 the
    # larger model had a quarter more to do.
    confidence_threshold: float = 58.0
    # The least threshold: where even a third of the larger model's work is too much,
    # every answer of the smaller one is delivered.
    least_threshold: float = 0.0
    # First pieces of the larger model take this share of their latency target on
    # calm days; from there on the threshold falls, by this much for a whole target.
    calm_pace: float = 0.45
    threshold_fall: float = 60.0
