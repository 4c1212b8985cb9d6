"""The decisions fit together as the daemons call them."""

from random import Random

from acaciacove.decisions.admission import AdmissionQueue
from acaciacove.decisions.choice_settings import ChoiceSettings
from acaciacove.decisions.endpoint_choice import choose_endpoint
from acaciacove.decisions.plan_cache import PlanCache
from acaciacove.decisions.quality_estimates import QualityEstimates
from acaciacove.decisions.rejection_reason import RejectionReason
from acaciacove.decisions.version_choice import choose_version
from acaciacove.decisions.waiting_item import WaitingItem
from acaciacove.fleet.api import Api
from acaciacove.fleet.api_kind import ApiKind
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.fleet.instance import Instance
from acaciacove.fleet.organisation import Organisation
from acaciacove.fleet.role import Role
from acaciacove.fleet.version import Version
from acaciacove.fleet.version_id import VersionId
from acaciacove.reason import Reason

SMALL = VersionId("guide-small", "1")
LARGE = VersionId("guide-large", "1")
API = Api("guide", ApiKind.MODEL, 0.8)
FLEET = FleetState(
    apis={"guide": API},
    versions={
        SMALL: Version(SMALL, "guide", 1.0, quality=0.6),
        LARGE: Version(LARGE, "guide", 10.0, quality=0.95),
    },
)


def choose(organisation, pinned=None, fleet=FLEET):
    plans = PlanCache(QualityEstimates("entry-1"), ChoiceSettings(max_tried_share=0.0))
    return choose_version(
        fleet, organisation, API, "interactive-short", plans, Random(1), pinned=pinned
    )


def test_a_version_that_is_not_allowed_is_never_chosen():
    only_small = Organisation("ozark", allowed={"guide-small": ("1",)})
    decided = choose(only_small, pinned=LARGE)
    assert decided.ladder == (SMALL,)
    lost = {c.name: c.lost for c in decided.decision.candidates}
    assert lost[str(LARGE)] is RejectionReason.NOT_ALLOWED
    assert choose(Organisation("nobody")).reason is Reason.NOT_ALLOWED


def test_a_pinned_session_keeps_its_version():
    everything = Organisation(
        "ozark", allowed={"guide-small": ("*",), "guide-large": ("*",)}
    )
    decided = choose(everything, pinned=SMALL)
    assert decided.ladder == (SMALL,)
    assert f"{LARGE}:pinned_elsewhere" in decided.decision.line()


def test_an_endpoint_in_a_zone_that_is_out_is_never_chosen():
    endpoints = [
        Instance(f"e{n}", Role.ENDPOINT, "r", zone, "127.0.0.1", n)
        for n, zone in enumerate(("ozark", "gulfcoast"))
    ]
    fleet = FleetState(availability_zones_out=frozenset({"ozark"}))
    decided = choose_endpoint(endpoints, {}, 0.0, Random(1), fleet)
    assert decided.endpoint.name == "e1"
    everywhere = FleetState(availability_zones_out=frozenset({"ozark", "gulfcoast"}))
    refusal = choose_endpoint(endpoints, {}, 0.0, Random(1), everywhere)
    assert refusal.reason is Reason.AVAILABILITY_ZONE_OUT and refusal.not_run


def test_admission_runs_no_more_than_its_limit():
    queue = AdmissionQueue(limit=1)
    items = [WaitingItem(f"r{n}", "ozark", 1.0, 10.0, 9.0) for n in range(2)]
    assert [queue.offer(item, 0.0) for item in items] == [None, None]
    assert queue.next(0.0) is items[0]
    assert queue.next(0.0) is None
    queue.finish(items[0], 1.0, ok=True)
    assert queue.next(1.0) is items[1]
