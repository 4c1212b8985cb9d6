"""acaciacove: a model-aware router for versions and cascades.

The names listed here are the library: decisions as plain functions over attrs
values, which know no socket and no clock. The daemons are one way to run them.
"""

from acaciacove.decisions.admission import AdmissionQueue
from acaciacove.decisions.admission_settings import AdmissionSettings
from acaciacove.decisions.budget import Budget
from acaciacove.decisions.cascade import should_escalate
from acaciacove.decisions.endpoint_choice import choose_endpoint
from acaciacove.decisions.endpoint_view import EndpointView
from acaciacove.decisions.hedging import HedgeDelays, should_hedge
from acaciacove.decisions.placement import plan_moves
from acaciacove.decisions.plan_cache import PlanCache
from acaciacove.decisions.quality_estimates import QualityEstimates
from acaciacove.decisions.ramp import Ramp
from acaciacove.decisions.rollout_guard import RolloutGuard
from acaciacove.decisions.subset import choose_subset
from acaciacove.decisions.version_choice import choose_version
from acaciacove.decisions.waiting_item import WaitingItem
from acaciacove.decisions.zone_moves import ZoneMoves
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal
from acaciacove.state.reducer import fold
from acaciacove.state.release_note import ReleaseNote

__version__ = "0.1.0"

__all__ = [
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
    "should_hedge",
]
