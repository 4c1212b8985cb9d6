"""Settings of the cold-start ramp."""

from attrs import frozen


@frozen
class RampSettings:
    """Settings of the growth of the limit and of the detection of cold endpoints.

    The ramp takes ``stretch`` times the declared warm-up time and grows with
    ``power`` of the time. Each good request adds ``earned_per_request`` to the earned
    limit. The endpoint counts as cold after ``bad_in_a_row`` requests in a row that
    failed or took more than ``latency_step`` times the baseline time per token, or
    after one gap between tokens of more than ``gap_steps`` times the baseline. The
    baseline counts as at least ``least_usual_s``: with times of a millisecond, any
    short pause of the machine would look like a cold start.
    """

    stretch: float = 1.3
    power: float = 3.0
    earned_per_request: float = 1.0
    latency_step: float = 2.5
    gap_steps: float = 4.0
    bad_in_a_row: int = 3
    least_usual_s: float = 0.025
