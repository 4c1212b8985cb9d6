"""Weights of the choice among endpoints and model sizes."""

from attrs import frozen


@frozen
class ChoiceSettings:
    """Costs in milliseconds of waiting that a choice weighs against each other.

    Each is a trade between waits, so only their ratios matter.
    """

    # What a second of reading weighs beside a second of waiting: it delays whoever
    # comes behind.
    reading_weight: float = 2.0
    # What reading 1,000 tokens costs beside its time: they take the place of prompts
    # that the endpoint holds, whatever the model that reads them.
    memory_ms_per_1k: float = 60.0
    # What one more request in an endpoint's batch costs beside the queue that it adds
    # to: it slows all the others a little.
    request_ms: float = 25.0
    # What a request to another zone costs beside its millisecond of travel: bytes
    # between zones are paid for.
    other_zone_ms: float = 200.0
    # The share of a shared part's reading that is expected to be spared at the
    # endpoint that all gateways prefer for it, though this one has not sent it.
    home_share: float = 0.6
    # Plain services: a request in another zone counts as this many waiting ones.
    other_zone_requests: float = 0.3
    # An endpoint of which a connection has just broken counts as this many
    # requests more: enough to pass it over while others are about as busy.
    suspect_requests: float = 8.0
