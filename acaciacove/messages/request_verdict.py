"""What gateways hold of one request under which endpoints crashed."""

from attrs import frozen

# Values of ``kind``; numbers, as they travel.
TRIED = 1
QUARANTINED = 2
CLEARED = 3


@frozen
class RequestVerdict:
    """``trials`` counts the tries since it was suspected, ``endpoint`` is the last's.

    Of two gateways that claim the same try the one with the lower ``claim`` has it.
    ``left_s`` is for how long a quarantine, or the word that it is over, goes on.
    """

    fingerprint: int
    kind: int
    trials: int = 0
    endpoint: int = 0
    left_s: float = 0.0
    claim: int = 0
