"""Requests that crash endpoints and share nothing but a part of their prompts."""

import asyncio
from collections import Counter
from random import Random

import pytest

from tests.gateway_world import Caller, lines, run_fleet
from tests.test_gateway_crashing_requests import restart

CRASHING = "bad"
# What operators are promised: requests with the part that reach endpoints later than
# this after the fifth crash.
MAX_CRASHES = 5
GOSSIP_S = 3.0
MAX_ATTEMPTS_LATER = 3
# Requests that share the crashing ones' organisation, route and other parts are served
# at least half as often as before, from this time on.
MIN_SHARE = 0.5
SETTLED_S = 2.0 * GOSSIP_S


class Traffic:
    """Callers with sound requests, and others whose requests crash endpoints."""

    def __init__(self, fleet, gateways, position, seed=1):
        self.fleet = fleet
        self.gateways = gateways
        self.position = position
        self.random = Random(seed)
        self.sent = 0
        self.patience_s = None
        self.answers = []
        self.tasks = set()

    async def run(self, for_s, sound_per_s, bad_per_s):
        """Send both kinds of requests at these rates, each to any gateway."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + for_s
        while loop.time() < until_s:
            await asyncio.sleep(self.random.expovariate(sound_per_s + bad_per_s))
            is_bad = self.random.uniform(0, sound_per_s + bad_per_s) < bad_per_s
            task = asyncio.create_task(self._request(is_bad))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def _parts(self, is_bad):
        own = f"{self.sent:x}"
        first = self.random.choice(("f1", "f2"))
        middle = f"m{self.random.randrange(12)}"
        if is_bad and self.position == 0:
            first = CRASHING
        elif is_bad:
            middle = CRASHING
        return f"{first}:400,{middle}:400,{own}:200"

    async def _request(self, is_bad):
        self.sent += 1
        request_id = f"{'bad' if is_bad else 'ok'}-{self.sent}"
        fields = {
            "Acaciacove-Model": "*",
            "Acaciacove-Token-Usage": "1000,40",
            "Acaciacove-Prompt-Prefix": self._parts(is_bad),
        }
        host = f"10.0.1.{self.random.randrange(self.gateways) + 1}"
        sent_s = asyncio.get_running_loop().time()
        try:
            caller = await Caller(host).open()
        except ConnectionError:
            # The gateway is restarting.
            return
        try:
            body = request_id.encode()
            async with asyncio.timeout(self.patience_s if is_bad else None):
                answer = await caller.request(
                    "/draft/1", request_id, body=body, fields=fields
                )
        except TimeoutError:
            return
        finally:
            caller.disconnect()
        self.answers.append((request_id, sent_s, answer))

    def served_share(self, from_s, to_s):
        """Return the share of sound requests whose first attempt was served."""
        tries = Counter(a.request_id for a in self.fleet.arrivals)
        sound = [
            answer.complete and answer.status == 200 and tries[request_id] == 1
            for request_id, sent_s, answer in self.answers
            if request_id.startswith("ok") and from_s <= sent_s < to_s
        ]
        return sum(sound) / len(sound)


def set_crashing_part(fleet, **behaviour):
    for server in fleet.endpoints.values():
        server.behaviour.crashing_parts = (CRASHING,)
        server.behaviour.work_s = 0.1
        for name, value in behaviour.items():
            setattr(server.behaviour, name, value)


def crashes(fleet):
    return sorted(a.ended_s for a in fleet.arrivals if a.ended == "crashed")


def bad_arrivals_after(fleet, moment_s):
    return [
        a
        for a in fleet.arrivals
        if a.request_id.startswith("bad") and a.at_s > moment_s
    ]


async def play(
    fleet,
    gateways,
    position=1,
    calm_s=6.0,
    crashing_s=15.0,
    patience_s=None,
    behaviour=None,
    **rates,
):
    """Run sound traffic alone, then with crashing requests; return the traffic.

    The callers of crashing requests leave after ``patience_s``, if that is set.
    """
    set_crashing_part(fleet, **(behaviour or {}))
    traffic = Traffic(fleet, gateways, position)
    traffic.patience_s = patience_s
    rates = {"sound_per_s": 20.0, "bad_per_s": 4.0} | rates
    loop = asyncio.get_running_loop()
    traffic.began_s = loop.time()
    await traffic.run(calm_s, rates["sound_per_s"], 0.0)
    traffic.crashing_s = loop.time()
    await traffic.run(crashing_s, **rates)
    traffic.ended_s = loop.time()
    await asyncio.sleep(6.0)
    return traffic


@pytest.mark.parametrize("gateways,position", [(1, 1), (4, 0), (4, 1), (28, 1)])
def test_prompt_part_that_crashes_endpoints_is_sent_a_limited_number_of_times(
    gateways, position
):
    """Guards against one part of a prompt that takes down endpoint after endpoint."""

    async def scenario(fleet):
        await play(fleet, gateways, position)
        found = crashes(fleet)
        assert len(found) >= MAX_CRASHES
        later = bad_arrivals_after(fleet, found[MAX_CRASHES - 1] + GOSSIP_S)
        assert len(later) <= MAX_ATTEMPTS_LATER

    run_fleet(scenario, gateways=gateways, models=9)


@pytest.mark.parametrize("position", [0, 1])
def test_sound_requests_beside_a_crashing_prompt_part_are_served(position):
    """Guards against callers who pay for the organisation and the parts they share."""

    async def scenario(fleet):
        traffic = await play(fleet, 4, position)
        settled_s = crashes(fleet)[MAX_CRASHES - 1] + SETTLED_S
        before = traffic.served_share(traffic.began_s, traffic.crashing_s)
        after = traffic.served_share(settled_s, traffic.ended_s)
        assert before > 0.9
        assert after >= MIN_SHARE * before
        refused = [
            request_id
            for request_id, sent_s, answer in traffic.answers
            if request_id.startswith("ok")
            and sent_s > settled_s
            and b"request_quarantined" in answer.body
        ]
        assert refused == []
        held = [
            line
            for name in fleet.gateways
            for line in lines(fleet, "request", name)
            if line.get("reason") == "request_quarantined"
        ]
        assert held and all(CRASHING in line["parts"] for line in held)
        assert {line["held_fingerprint"][:4] for line in held} == {"ffff"}

    run_fleet(scenario, gateways=4, models=9)


def test_prompt_part_is_known_although_its_callers_leave_before_the_crash():
    """Guards against crashes without a cause, as the requests behind them are gone."""

    async def scenario(fleet):
        await play(
            fleet,
            gateways=1,
            crashing_s=20.0,
            patience_s=0.12,
            behaviour={"crashes_unattended": True},
            bad_per_s=1.5,
        )
        found = crashes(fleet)
        assert len(found) >= MAX_CRASHES
        later = bad_arrivals_after(fleet, found[MAX_CRASHES - 1] + GOSSIP_S)
        assert len(later) <= MAX_ATTEMPTS_LATER

    run_fleet(scenario, gateways=1, models=9)


async def restart_one(fleet):
    await restart(fleet, ("gateway-0",))


async def restart_all(fleet):
    await restart(fleet, tuple(fleet.gateways))


async def restart_while_the_log_is_away(fleet):
    fleet.store.down = "silent"
    await restart(fleet, ("gateway-0",))
    await asyncio.sleep(2.0)
    fleet.store.down = None


async def partition_one(fleet):
    fleet.network.isolated_hosts.add("10.0.1.1")
    await asyncio.sleep(2.0)
    fleet.network.isolated_hosts.clear()


@pytest.mark.parametrize(
    "disrupt", [restart_one, restart_all, restart_while_the_log_is_away, partition_one]
)
def test_crashing_prompt_part_stays_known_through_disruptions(disrupt):
    """Guards against gateways that forget the part, also those out of touch."""

    async def scenario(fleet):
        set_crashing_part(fleet)
        traffic = Traffic(fleet, 4, position=1)
        await traffic.run(3.0, 20.0, 0.0)
        await traffic.run(8.0, 20.0, 4.0)
        await disrupt(fleet)
        await traffic.run(6.0, 20.0, 4.0)
        await asyncio.sleep(6.0)
        found = crashes(fleet)
        later = bad_arrivals_after(fleet, found[MAX_CRASHES - 1] + GOSSIP_S)
        assert len(later) <= MAX_ATTEMPTS_LATER

    run_fleet(scenario, gateways=4, models=9)
