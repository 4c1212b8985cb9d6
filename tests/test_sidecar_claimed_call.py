"""Claimed calls are checked again before the call and billed after it."""

import asyncio
from types import SimpleNamespace

from attrs import evolve

from acaciacove.adapters.service_answer import ServiceAnswer
from acaciacove.adapters.service_call import ServiceCall
from acaciacove.fleet.api import Api
from acaciacove.fleet.api_kind import ApiKind
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.organisation import Organisation
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId
from acaciacove.messages.run import Run
from acaciacove.reason import Reason
from acaciacove.sidecar.claimed_call import call_at_most_once
from acaciacove.sidecar.gate import GateView
from acaciacove.sidecar.ticket import Ticket
from tests.claim_world import World
from tests.virtual import run_virtual

SHUTTLE = VersionId("bookings", "1")
FLEET = FleetState(
    revision=3,
    apis={"shuttle": Api("shuttle", ApiKind.SERVICE)},
    versions={SHUTTLE: Version(SHUTTLE, "shuttle", 1.0)},
    organisations={"kiosk": Organisation("kiosk", allowed={"bookings": ("*",)})},
)
RUN = Run("r1", 1, 3, "kiosk", "shuttle", str(SHUTTLE), idempotency_key="k",
          non_idempotent=True)  # fmt: skip


class FakeSidecar:
    """The parts of a sidecar that a claimed call uses; counts service calls."""

    def __init__(self, world):
        self.claims = world.start("s1")
        self.fleet, self.current, self.calls, self.held = FLEET, True, 0, []
        self.fleet_store = SimpleNamespace(state=FLEET)
        self.billing = SimpleNamespace(hold=lambda *held: self.held.append(held))
        self.service = self

    def gate_view(self):
        served = frozenset({SHUTTLE})
        return GateView(self.fleet, "s1", "ozark", served, True, self.current)

    async def call(self, call):
        self.calls += 1
        await asyncio.sleep(0.1)
        return ServiceAnswer(201, (), b"seat 4")


def book(sidecar):
    ticket = Ticket(RUN, 0.0, 0.0)
    call = ServiceCall("r1", "POST", "/", timeout_s=5.0)
    return asyncio.create_task(call_at_most_once(RUN, "entry-1", sidecar, ticket, call))


def test_withdrawal_or_pause_during_the_claim_prevents_the_call():
    # Guards against new work for a stopped version. The version is withdrawn, or the
    # process is paused, between the first check and the reply of the log.
    async def main():
        withdrawn = evolve(FLEET.versions[SHUTTLE], withdrawn=True)
        for change in (
            {"fleet": evolve(FLEET, versions={SHUTTLE: withdrawn})},
            {"current": False},
        ):
            sidecar = FakeSidecar(World())
            booking = book(sidecar)
            await asyncio.sleep(0.001)
            vars(sidecar).update(change)
            refusal = await booking
            assert refusal.not_run and sidecar.calls == 0
            assert refusal.reason in (Reason.VERSION_WITHDRAWN, Reason.STALE_REVISION)

    run_virtual(main)


def test_booking_is_billed_when_its_entry_is_lost_during_the_call():
    # Guards against unbilled calls. The entry's connection breaks during the call,
    # which cancels the attempt. The booking takes effect, so its copy must be held.
    async def main():
        sidecar = FakeSidecar(World())
        booking = book(sidecar)
        await asyncio.sleep(0.05)
        booking.cancel()
        await asyncio.sleep(1.0)
        assert sidecar.calls == 1
        ((record, entry, _),) = sidecar.held
        assert record.answered and entry == "entry-1"

    run_virtual(main)
