"""Orders to the engine, so that it holds what the release in force wants of it."""

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

LOOK_S = 0.5
# Peers that are silent for a moment come back: a copy of a version is unloaded only
# after the plan has done without it for this long.
SURPLUS_S = 5.0
LOAD_LIMIT_S = 600.0
OVERTAKEN = Refusal(Reason.STALE_FENCE, True, "the version is no longer wanted")


@define(eq=False)
class VersionOrders:
    """Gives one order at a time; ``gate`` refuses those that were overtaken."""

    sidecar: SidecarState
    gate: FenceGate
    store: WeightStore | None
    rng: Random
    given: int = field(default=0)
    surplus_since_s: dict[VersionId, float] = field(factory=dict)

    async def run(self) -> None:
        """Compare what is held with what is wanted, again and again."""
        while True:
            await asyncio.sleep(LOOK_S)
            try:
                await self._step()
            except PlatformUnavailableError as error:
                # Whether the order was obeyed is not known. It is given again under
                # a number that is no lower, which engines take as the same order.
                log_event("order_in_doubt", detail=str(error))

    async def _step(self) -> None:
        """Give the next order that is due, if there is one."""
        if not self.sidecar.shared.is_listed:
            # Whoever knows nobody else would take each version for its own to hold.
            return
        fleet = self.sidecar.holder.state
        wanted = self._wanted(fleet)
        for version in sorted(wanted - self.sidecar.served):
            await self._load(version, fleet.revision)
            return
        lasting = self._lasting_surplus(fleet, wanted)
        for version in sorted(self.sidecar.served):
            known = fleet.versions.get(version)
            is_withdrawn = known is not None and known.withdrawn
            if (is_withdrawn or version in lasting) and self._is_idle(version):
                await self._unload(version, fleet.revision)
                return

    def _lasting_surplus(
        self, fleet: FleetState, wanted: frozenset[VersionId]
    ) -> frozenset[VersionId]:
        """Return versions loaded here that the plan has placed elsewhere for a while.

        Peers that were not known yet, or silent, make an endpoint load in their place.
        Nothing else would take such a copy away: entries never look for it, and it
        fills the engine's memory.
        """
        now_s = asyncio.get_running_loop().time()
        listed = self.sidecar.shared.local_instance.versions
        surplus = {
            version
            for version in self.sidecar.served - wanted
            if version not in listed and fleet.is_usable(version)
        }
        self.surplus_since_s = {
            version: self.surplus_since_s.get(version, now_s) for version in surplus
        }
        return frozenset(
            version
            for version, since_s in self.surplus_since_s.items()
            if now_s - since_s >= SURPLUS_S
        )

    def _wanted(self, fleet: FleetState) -> frozenset[VersionId]:
        """Return what this endpoint should hold, as every process plans it."""
        if not self.sidecar.is_engine:
            return frozenset()
        shared = self.sidecar.shared
        peers = {i.name: i for i in shared.membership.usable()}
        peers[shared.local_instance.name] = shared.local_instance
        endpoints = [i for i in peers.values() if i.role is Role.ENDPOINT]
        return planned_versions(fleet, endpoints)[shared.local_instance.name]

    def _is_idle(self, version: VersionId) -> bool:
        return self.sidecar.running[version] == 0

    async def _load(self, version: VersionId, fence: int) -> None:
        """Load a version, once the weight store lets its weights be fetched."""

        def still_wanted() -> Refusal | None:
            wanted = version in self._wanted(self.sidecar.holder.state)
            return None if wanted else OVERTAKEN

        if self.store is not None:
            deadline_s = asyncio.get_running_loop().time() + LOAD_LIMIT_S
            refusal = await wait_for_permit(
                self.store, str(version), still_wanted, deadline_s, self.rng
            )
            if refusal is not None:
                return
        fence = max(fence, self.sidecar.holder.revision)
        if await self._give(EngineAction.LOAD_VERSION, version, fence):
            self._serve(self.sidecar.served | {version})

    async def _unload(self, version: VersionId, fence: int) -> None:
        """Unload a withdrawn version that nothing runs on any more."""
        self._serve(self.sidecar.served - {version})
        if not await self._give(EngineAction.UNLOAD_VERSION, version, fence):
            self._serve(self.sidecar.served | {version})

    def _serve(self, versions: frozenset[VersionId]) -> None:
        self.sidecar.served = versions
        self.sidecar.admission.update(self.sidecar.holder.state, versions)

    async def _give(self, action: EngineAction, version: VersionId, fence: int) -> bool:
        """Give an order under its fencing number, and log it."""
        refusal = self.gate.admit(fence)
        if refusal is None:
            self.given += 1
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
