"""Endpoints that state how many requests they take from all gateways together."""

import asyncio

import pytest

from acaciacove.gateway.choice.stated_limit import StatedLimit
from tests.gateway_world import call, lines, run_fleet

# What endpoints are promised, from this long after they first stated a limit.
CONTACT_S = 3.0
WINDOW_S = 4.0
OVERAGE, EXTRA = 1.5, 5
LIMIT_PER_S = 1.5


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


def most_in_a_window(moments, window_s=WINDOW_S):
    return max(
        (sum(a <= b < a + window_s for b in moments) for a in moments), default=0
    )


async def ask_for(fleet, seconds, per_s, gateways, number=0):
    """Send lookups to all gateways by turns; returns the answers."""
    asked = []
    for _ in range(int(seconds * per_s)):
        number += 1
        host = f"10.0.1.{number % gateways + 1}"
        path = f"/look/{number}"
        asked.append(asyncio.create_task(call(path, f"r-{number}", host=host)))
        await asyncio.sleep(1.0 / per_s)
    return [await each for each in asked]


@pytest.mark.parametrize("gateways", [1, 5, 28])
def test_all_gateways_together_keep_to_a_stated_limit(gateways):
    """Guards against an endpoint in need being sent as much as any other."""

    async def story(fleet):
        fleet.endpoints["app-0"].behaviour.limit_per_s = LIMIT_PER_S
        await ask_for(fleet, CONTACT_S, 60, gateways)
        now_s = asyncio.get_running_loop().time()
        answers = await ask_for(fleet, 12.0, 60, gateways, number=1000)
        arrivals = [
            a.at_s for a in fleet.arrivals if a.instance == "app-0" and a.at_s > now_s
        ]
        allowed = OVERAGE * LIMIT_PER_S * WINDOW_S + EXTRA
        assert most_in_a_window(arrivals) <= allowed
        assert {answer.status for answer in answers} == {200}

    run_fleet(story, gateways=gateways, apps=4, models=0)
