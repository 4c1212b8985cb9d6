"""Run the policies of a scenario, each on the same arrivals."""

from collections.abc import Callable, Mapping

from acaciacove.bench.scenario_report import Figures
from acaciacove.bench.scenario_settings import ScenarioSettings
from acaciacove.errors import InvalidSettingsError

OURS = "ours"
PolicyRun = Callable[[], Figures]


def run_policies(
    settings: ScenarioSettings, runs: Mapping[str, PolicyRun]
) -> dict[str, Figures]:
    """Run the policy that is asked for, or all; raises InvalidSettingsError."""
    if settings.policy and settings.policy not in runs:
        known = ", ".join(runs)
        raise InvalidSettingsError([f"policy {settings.policy} is none of {known}"])
    chosen = {settings.policy: runs[settings.policy]} if settings.policy else runs
    return {name: run() for name, run in chosen.items()}
