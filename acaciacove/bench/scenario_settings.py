"""Settings of one run of a scenario; the bench's flags are made of its fields."""

from attrs import frozen


@frozen
class ScenarioSettings:
    """Load parameters; None takes the scenario's own default.

    ``policy`` names the one policy to run (``ours`` or a baseline), empty for all.
    ``load`` is the offered work as a share of what the warm fleet can serve.
    ``rated_share`` is how many answers get a rating, ``report_lag_s`` how old load
    reports are.
    """

    seed: int = 1
    policy: str = ""
    duration_s: float | None = None
    rate_per_s: float | None = None
    load: float | None = None
    entries: int | None = None
    endpoints: int | None = None
    organisations: int | None = None
    rated_share: float | None = None
    rating_delay_s: float | None = None
    report_lag_s: float | None = None
