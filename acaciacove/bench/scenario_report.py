"""What one run of a scenario measured."""

from attrs import field, frozen

Figures = dict[str, float]


@frozen
class ScenarioReport:
    """Figures by name, ours and each baseline's on the same arrivals.

    ``aims`` maps a figure of ours to ``(bound, is_upper)``; a figure that is absent
    from a baseline does not apply to it. Units are in the figures' names.
    """

    scenario: str
    seed: int
    ours: Figures = field(factory=dict)
    baselines: dict[str, Figures] = field(factory=dict)
    aims: dict[str, tuple[float, bool]] = field(factory=dict)
