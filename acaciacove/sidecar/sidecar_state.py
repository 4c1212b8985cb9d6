"""State that the tasks of one sidecar share."""

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
from acaciacove.sidecar.admission_controller import AdmissionController
from acaciacove.sidecar.evidence_reporter import EvidenceReporter
from acaciacove.sidecar.gate import GateView
from acaciacove.sidecar.sidecar_metrics import SidecarMetrics
from acaciacove.state.billing_outbox import BillingOutbox
from acaciacove.state.claim_owner import ClaimOwner
from acaciacove.state.fleet_store import FleetStore


@define(eq=False)
class SidecarState:
    """The components of one sidecar; one task writes each, the others read it."""

    settings: SidecarSettings
    lifecycle: ProcessLifecycle
    shared: SharedState
    admission: AdmissionController
    engine: Engine
    service: PlainService
    metrics: SidecarMetrics
    evidence: EvidenceReporter
    claims: ClaimOwner
    billing: BillingOutbox
    served: frozenset[VersionId]
    in_flight: int = field(default=0)
    connections_by_peer: Counter[str] = field(factory=Counter)
    running_by_version: Counter[VersionId] = field(factory=Counter)

    @property
    def is_engine(self) -> bool:
        """Return whether the endpoint is a model engine, not a plain service."""
        fleet = self.fleet_store.state
        for version in self.served & fleet.versions.keys():
            api = fleet.apis.get(fleet.versions[version].api)
            if api is not None and api.kind is ApiKind.MODEL:
                return True
        return False

    @property
    def fleet_store(self) -> FleetStore:
        """Return the store of the current fleet state."""
        return self.shared.fleet_store

    def is_entry_gone(self, name: str) -> bool:
        """Return whether an entry has ended, so that this sidecar must bill for it."""
        if self.connections_by_peer[name] > 0:
            return False
        return self.shared.membership.status_of(name) is InstanceStatus.GONE

    def gate_view(self) -> GateView:
        """Return the current input of the gate's checks."""
        return GateView(
            fleet=self.fleet_store.state,
            instance=self.settings.name,
            availability_zone=self.settings.availability_zone,
            served=self.served,
            takes_work=self.lifecycle.takes_work,
            current=self.shared.may_decide,
        )
