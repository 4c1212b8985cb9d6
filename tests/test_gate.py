"""The sidecar refuses invalid runs, and says why."""

import pytest
from attrs import evolve

from acaciacove.fleet.api import Api
from acaciacove.fleet.api_kind import ApiKind
from acaciacove.fleet.call_rule import CallRule
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.organisation import Organisation
from acaciacove.fleet.quarantine import Quarantine
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId
from acaciacove.messages.run import Run
from acaciacove.reason import Reason
from acaciacove.sidecar.gate import GateView, refuse_run

BOOKINGS = VersionId("bookings", "1")
FLEET = FleetState(
    revision=7,
    apis={
        "rides": Api("rides", ApiKind.SERVICE, 0.0, (CallRule("POST", "/shuttles"),))
    },
    versions={BOOKINGS: Version(BOOKINGS, "rides", 1.0)},
    organisations={
        "ozark-guides": Organisation("ozark-guides", allowed={"bookings": ("*",)}),
        "rivals": Organisation("rivals", allowed={"bookings": ("2",)}),
    },
)
VIEW = GateView(FLEET, "bookings-1", "ozark", frozenset({BOOKINGS}), True)
RUN = Run("r", 1, 7, "ozark-guides", "rides", str(BOOKINGS), path="/trips")


def test_an_allowed_run_passes():
    assert refuse_run(RUN, VIEW) is None


@pytest.mark.parametrize(
    ("run", "view", "reason"),
    [
        (RUN, evolve(VIEW, takes_work=False), Reason.LEAVING),
        (RUN, evolve(VIEW, fleet=FleetState()), Reason.NOT_READY),
        (evolve(RUN, revision=8), VIEW, Reason.STALE_REVISION),
        (evolve(RUN, organisation="rivals"), VIEW, Reason.NOT_ALLOWED),
        (evolve(RUN, organisation="nobody"), VIEW, Reason.UNKNOWN_ORGANISATION),
        (evolve(RUN, version="bookings@9"), VIEW, Reason.UNKNOWN_API),
        (evolve(RUN, api="guide"), VIEW, Reason.UNKNOWN_API),
        (evolve(RUN, deadline_s=0.0), VIEW, Reason.DEADLINE_EXCEEDED),
        (evolve(RUN, path="/shuttles"), VIEW, Reason.KEY_REQUIRED),
        (RUN, evolve(VIEW, served=frozenset()), Reason.NO_ENDPOINT),
    ],
)
def test_invalid_runs_are_refused_as_not_run(run, view, reason):
    # The entry's view is stale, or its message is invalid. The caller must get no
    # answer from a version that it may not use. The refusal must say that nothing ran.
    refusal = refuse_run(run, view)
    assert refusal is not None
    assert (refusal.reason, refusal.not_run) == (reason, True)


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        (
            {"availability_zones_out": frozenset({"ozark"})},
            Reason.AVAILABILITY_ZONE_OUT,
        ),
        ({"instances_out": frozenset({"bookings-1"})}, Reason.INSTANCE_OUT),
        (
            {"versions": {BOOKINGS: Version(BOOKINGS, "rides", 1.0, withdrawn=True)}},
            Reason.VERSION_WITHDRAWN,
        ),
        (
            {"quarantines": {BOOKINGS: Quarantine(BOOKINGS, "slow", 6)}},
            Reason.VERSION_QUARANTINED,
        ),
    ],
)
def test_runs_on_stopped_targets_are_refused_as_not_run(change, reason):
    # An operator takes a zone, instance or version out of service, and a request
    # routed before that arrives afterwards. Without the check it would be served there.
    refusal = refuse_run(RUN, evolve(VIEW, fleet=evolve(FLEET, **change)))
    assert refusal is not None
    assert (refusal.reason, refusal.not_run) == (reason, True)
