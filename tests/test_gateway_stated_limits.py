"""Endpoints that state how many requests they take from all gateways together."""

from acaciacove.gateway.choice.stated_limit import StatedLimit
from tests.gateway_world import call, lines, run_fleet


def test_a_stated_limit_and_its_end_are_logged():
    """Guards against nobody being able to tell what an endpoint has asked for."""

    async def story(fleet):
        behaviour = fleet.endpoints["app-0"].behaviour
        behaviour.limit_per_s = 2.5
        await call("/look/1", "r-1", method="GET")
        behaviour.limit_per_s = None
        await call("/look/1", "r-2", method="GET")
        stated, lifted = lines(fleet, "endpoint_limited")
        assert stated["endpoint"] == "app-0" and stated["per_s"] == 2.5
        assert lifted["lifted"] is True

    run_fleet(story, apps=1, models=0)


def test_an_answer_that_was_under_way_does_not_lift_a_limit():
    """Guards against answers that overtake each other lifting a limit by turns."""
    limit = StatedLimit()
    assert limit.hear(2.0, asked_s=1.0, now_s=1.5)
    assert not limit.hear(None, asked_s=1.2, now_s=1.6)
    assert limit.per_s == 2.0
    assert limit.hear(None, asked_s=1.7, now_s=1.8)
    assert limit.per_s is None
