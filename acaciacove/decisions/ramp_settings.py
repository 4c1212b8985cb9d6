"""Settings of the cold-start ramp."""

from attrs import frozen


@frozen
class RampSettings:
    """How carefully a limit grows.

    The ramp lasts ``stretch`` times the declared warm-up and follows a power of
    time. Each good request earns ``earned_per_request`` of the limit. A time per
    token ``latency_step`` times the usual in ``bad_in_a_row`` requests, or one gap
    of ``gap_steps`` times it, means that the endpoint is cold. The usual time counts as
    ``least_usual_s`` at least: with times of a millisecond, any hiccup of the machine
    would look like a cold start.
    """

    stretch: float = 1.3
    power: float = 3.0
    earned_per_request: float = 1.0
    latency_step: float = 2.5
    gap_steps: float = 4.0
    bad_in_a_row: int = 3
    least_usual_s: float = 0.025
