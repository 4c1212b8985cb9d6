"""Everything that the tasks of one sidecar share."""

from collections import Counter

from attrs import define, field

from acaciacove.adapters.engine import Engine
from acaciacove.adapters.plain_service import PlainService
from acaciacove.daemon.process_lifecycle import ProcessLifecycle
from acaciacove.daemon.shared_state import SharedState
from acaciacove.fleet.api_kind import ApiKind
from acaciacove.fleet.instance_status import InstanceStatus
from acaciacove.fleet.version_id import VersionId
from acaciacove.settings.sidecar_settings import SidecarSettings
from acaciacove.sidecar.admission import Admission
from acaciacove.sidecar.evidence_report import EvidenceReport
from acaciacove.sidecar.gate import GateView
from acaciacove.sidecar.sidecar_metrics import SidecarMetrics
from acaciacove.state.billing_outbox import BillingOutbox
from acaciacove.state.claim_owner import ClaimOwner
from acaciacove.state.fleet_store import FleetStore


@define(eq=False)
class SidecarState:
    """The parts of one sidecar; each is owned by one task and read by the others."""

    settings: SidecarSettings
    lifecycle: ProcessLifecycle
    shared: SharedState
    admission: Admission
    engine: Engine
    service: PlainService
    metrics: SidecarMetrics
    evidence: EvidenceReport
    claims: ClaimOwner
    billing: BillingOutbox
    served: frozenset[VersionId]
    in_flight: int = field(default=0)
    connected: Counter[str] = field(factory=Counter)
    running: Counter[VersionId] = field(factory=Counter)

    @property
    def is_engine(self) -> bool:
        """Tell whether a model engine, and no plain service, stands behind it."""
        fleet = self.fleet_store.state
        for version in self.served & fleet.versions.keys():
            api = fleet.apis.get(fleet.versions[version].api)
            if api is not None and api.kind is ApiKind.MODEL:
                return True
        return False

    @property
    def fleet_store(self) -> FleetStore:
        """Return the state in force."""
        return self.shared.fleet_store

    def entry_is_gone(self, name: str) -> bool:
        """Tell whether nobody but this sidecar is left to bill for an entry."""
        if self.connected[name] > 0:
            return False
        return self.shared.membership.status_of(name) is InstanceStatus.GONE

    def gate_view(self) -> GateView:
        """Return what the gate looks at, as of now."""
        return GateView(
            fleet=self.fleet_store.state,
            instance=self.settings.name,
            availability_zone=self.settings.availability_zone,
            served=self.served,
            takes_work=self.lifecycle.takes_work,
            current=self.shared.may_decide,
        )
