"""One request that crashes each endpoint that begins to run it."""

import asyncio

import pytest

from tests.gateway_world import call, run_fleet

CRASHING = b"crashes what runs it"
# What operators are promised: three crashes, this long until every gateway in touch
# knows, and three more tries from then on.
CRASHES = 3
CONTACT_S = 3.0
TRIES = 3


def crash_at(fleet, body=CRASHING):
    for server in fleet.endpoints.values():
        server.behaviour.crashing_body = body


async def ask_again_and_again(fleet, times, every_s, gateways, path="/look/7"):
    """Send the crashing request to one gateway after the other, two at a time."""
    answers = []
    for number in range(times):
        answers += await asyncio.gather(
            *(
                call(
                    path,
                    f"bad-{number}-{copy}",
                    host=f"10.0.1.{(2 * number + copy) % gateways + 1}",
                    body=CRASHING,
                )
                for copy in range(2)
            )
        )
        await asyncio.sleep(every_s)
    return answers


def crashes(fleet):
    return sorted(a.ended_s for a in fleet.arrivals if a.ended == "crashed")


def tries_after(fleet, moment_s):
    return [a for a in fleet.arrivals if a.body == CRASHING and a.at_s > moment_s]


@pytest.mark.parametrize("gateways", [1, 5, 28])
def test_a_request_that_crashes_endpoints_is_not_sent_on_and_on(gateways):
    """Guards against one request that takes down all endpoints, again and again."""

    async def story(fleet):
        crash_at(fleet)
        await ask_again_and_again(fleet, 12, 3.5, gateways)
        third_s = crashes(fleet)[CRASHES - 1]
        assert len(tries_after(fleet, third_s + CONTACT_S)) <= TRIES

    run_fleet(story, gateways=gateways, apps=9, models=0)
