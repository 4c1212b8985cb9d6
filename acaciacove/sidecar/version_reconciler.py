"""Orders the engine to load and unload versions until it holds the planned ones."""

import asyncio
from random import Random

from attrs import define, field

from acaciacove.adapters.engine_order import EngineAction, EngineOrder
from acaciacove.adapters.weight_store import WeightStore
from acaciacove.daemon.decision_log import log_event
from acaciacove.decisions.version_holders import planned_versions
from acaciacove.errors import PlatformUnavailableError
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.role import Role
from acaciacove.fleet.version_id import VersionId
from acaciacove.reason import Reason
from acaciacove.refusal import Refusal
from acaciacove.sidecar.sidecar_state import SidecarState
from acaciacove.state.fence_gate import FenceGate
from acaciacove.state.load_permit import wait_for_permit

RECONCILE_INTERVAL_S = 0.5
# A peer that is briefly unreachable returns. A version is therefore unloaded only after
# it has been missing from the plan for this long.
SURPLUS_GRACE_S = 5.0
LOAD_PERMIT_TIMEOUT_S = 600.0
NOT_PLANNED = Refusal(
    Reason.STALE_FENCE, True, "the version is no longer planned for this endpoint"
)


@define(eq=False)
class VersionReconciler:
    """Sends one order at a time; ``gate`` refuses orders with a stale fence."""

    sidecar: SidecarState
    gate: FenceGate
    store: WeightStore | None
    rng: Random
    order_count: int = field(default=0)
    surplus_since_s: dict[VersionId, float] = field(factory=dict)

    async def run(self) -> None:
        """Compare the loaded versions with the planned ones periodically."""
        while True:
            await asyncio.sleep(RECONCILE_INTERVAL_S)
            try:
                await self._reconcile()
            except PlatformUnavailableError as error:
                # The engine may or may not have executed the order. It is sent again
                # with a fence that is no lower, which engines treat as the same order.
                log_event("order_in_doubt", detail=str(error))

    async def _reconcile(self) -> None:
        """Send the next load or unload order, if one is needed."""
        if not self.sidecar.shared.is_listed:
            # With an empty view of its peers, this sidecar would load every version.
            return
        fleet = self.sidecar.fleet_store.state
        planned = self._planned(fleet)
        for version in sorted(planned - self.sidecar.served):
            await self._load(version, fleet.revision)
            return
        expired_surplus = self._expired_surplus(fleet, planned)
        for version in sorted(self.sidecar.served):
            version_spec = fleet.versions.get(version)
            is_withdrawn = version_spec is not None and version_spec.withdrawn
            if (is_withdrawn or version in expired_surplus) and self._is_idle(version):
                await self._unload(version, fleet.revision)
                return

    def _expired_surplus(
        self, fleet: FleetState, planned: frozenset[VersionId]
    ) -> frozenset[VersionId]:
        """Return loaded versions that were not planned here for the grace period.

        An endpoint loads a version in place of a peer that it does not know yet or
        that is unreachable. Nothing else would unload such a surplus version: entries
        never route to it, and it fills the engine's memory.
        """
        now_s = asyncio.get_running_loop().time()
        listed_versions = self.sidecar.shared.local_instance.versions
        surplus = {
            version
            for version in self.sidecar.served - planned
            if version not in listed_versions and fleet.is_usable(version)
        }
        self.surplus_since_s = {
            version: self.surplus_since_s.get(version, now_s) for version in surplus
        }
        return frozenset(
            version
            for version, since_s in self.surplus_since_s.items()
            if now_s - since_s >= SURPLUS_GRACE_S
        )

    def _planned(self, fleet: FleetState) -> frozenset[VersionId]:
        """Return the versions planned for this endpoint; peers compute the same."""
        if not self.sidecar.is_engine:
            return frozenset()
        shared = self.sidecar.shared
        peers = {i.name: i for i in shared.membership.usable()}
        peers[shared.local_instance.name] = shared.local_instance
        endpoints = [i for i in peers.values() if i.role is Role.ENDPOINT]
        return planned_versions(fleet, endpoints)[shared.local_instance.name]

    def _is_idle(self, version: VersionId) -> bool:
        return self.sidecar.running_by_version[version] == 0

    async def _load(self, version: VersionId, fence: int) -> None:
        """Load a version once the weight store permits the download."""

        def find_refusal() -> Refusal | None:
            planned = version in self._planned(self.sidecar.fleet_store.state)
            return None if planned else NOT_PLANNED

        if self.store is not None:
            deadline_s = asyncio.get_running_loop().time() + LOAD_PERMIT_TIMEOUT_S
            refusal = await wait_for_permit(
                self.store, str(version), find_refusal, deadline_s, self.rng
            )
            if refusal is not None:
                return
        fence = max(fence, self.sidecar.fleet_store.revision)
        if await self._send_order(EngineAction.LOAD_VERSION, version, fence):
            self._set_served(self.sidecar.served | {version})

    async def _unload(self, version: VersionId, fence: int) -> None:
        """Unload a withdrawn or surplus version that runs no attempts."""
        self._set_served(self.sidecar.served - {version})
        if not await self._send_order(EngineAction.UNLOAD_VERSION, version, fence):
            self._set_served(self.sidecar.served | {version})

    def _set_served(self, versions: frozenset[VersionId]) -> None:
        self.sidecar.served = versions
        self.sidecar.admission.update(self.sidecar.fleet_store.state, versions)

    async def _send_order(
        self, action: EngineAction, version: VersionId, fence: int
    ) -> bool:
        """Send an order with its fence to the engine, and log it."""
        refusal = self.gate.admit(fence)
        if refusal is None:
            self.order_count += 1
            order = EngineOrder(fence, action, str(version))
            refusal = await self.sidecar.engine.order(order)
        log_event(
            "order",
            action=action.value,
            version=str(version),
            fence=fence,
            refused=refusal.reason if refusal else None,
            detail=refusal.detail if refusal else "",
        )
        return refusal is None
