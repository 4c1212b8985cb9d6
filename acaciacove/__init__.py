"""acaciacove: a model-aware router for versions and cascades.

The names listed here are the library: decisions as plain functions over attrs
values, which know no socket and no clock. The daemons are one way to run them.

They are imported when they are first asked for: a daemon that needs few of them
pays neither their memory nor their time at each restart.
"""

from importlib import import_module
from typing import Any

__version__ = "0.1.0"

_MODULES = {
    "AdmissionQueue": "acaciacove.decisions.admission",
    "AdmissionSettings": "acaciacove.decisions.admission_settings",
    "Budget": "acaciacove.decisions.budget",
    "EndpointView": "acaciacove.decisions.endpoint_view",
    "FleetState": "acaciacove.fleet.fleet_state",
    "HedgeDelays": "acaciacove.decisions.hedging",
    "PlanCache": "acaciacove.decisions.plan_cache",
    "QualityEstimates": "acaciacove.decisions.quality_estimates",
    "Ramp": "acaciacove.decisions.ramp",
    "Reason": "acaciacove.reason",
    "Refusal": "acaciacove.refusal",
    "ReleaseNote": "acaciacove.state.release_note",
    "RolloutGuard": "acaciacove.decisions.rollout_guard",
    "WaitingItem": "acaciacove.decisions.waiting_item",
    "ZoneMoves": "acaciacove.decisions.zone_moves",
    "choose_endpoint": "acaciacove.decisions.endpoint_choice",
    "choose_subset": "acaciacove.decisions.subset",
    "choose_version": "acaciacove.decisions.version_choice",
    "fold": "acaciacove.state.reducer",
    "plan_moves": "acaciacove.decisions.placement",
    "should_escalate": "acaciacove.decisions.cascade",
}

__all__ = [  # noqa: F822
    "AdmissionQueue",
    "AdmissionSettings",
    "Budget",
    "EndpointView",
    "FleetState",
    "HedgeDelays",
    "PlanCache",
    "QualityEstimates",
    "Ramp",
    "Reason",
    "Refusal",
    "ReleaseNote",
    "RolloutGuard",
    "WaitingItem",
    "ZoneMoves",
    "choose_endpoint",
    "choose_subset",
    "choose_version",
    "fold",
    "plan_moves",
    "should_escalate",
]


def __getattr__(name: str) -> Any:
    """Import one of the library's names from the module that defines it."""
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(_MODULES[name]), name)
