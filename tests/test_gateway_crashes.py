"""Endpoints that crash, under any requests or under one that crashes them all."""

import asyncio

from tests.gateway_world import call, lines, run_fleet


def test_crash_is_distinguished_from_broken_connection():
    """Guards against connections that broke on the way being logged as crashes."""

    async def story(fleet):
        for server in fleet.endpoints.values():
            server.behaviour.work_s = 0.2
        caller = asyncio.create_task(call("/look/1", "r-1", method="GET"))
        await asyncio.sleep(0.1)
        first = runs(fleet)[0].instance
        fleet.cut_connections(first)
        await caller
        (cut,) = lines(fleet, "requests_cut")
        assert cut["endpoint"] == first and cut["lost"] == 1
        assert not lines(fleet, "endpoint_crashed")

        caller = asyncio.create_task(call("/look/1", "r-2", method="GET"))
        await asyncio.sleep(0.1)
        second = runs(fleet)[-1].instance
        fleet.crash(second)
        assert (await caller).status == 200
        (crashed,) = lines(fleet, "endpoint_crashed")
        assert crashed["endpoint"] == second and crashed["lost"] == 1

    run_fleet(story)


def test_the_same_request_has_the_same_fingerprint_each_time():
    """Guards against repeats that cannot be recognised because their ids differ."""

    async def story(fleet):
        for server in fleet.endpoints.values():
            server.behaviour.lost_answers = 9
        for number, body in enumerate((b"one", b"one", b"two")):
            await call("/look/1", f"r-{number}", body=body)
        found = {
            line["request_id"]: line["fingerprint"]
            for line in lines(fleet, "attempt")
            if line["outcome"] == "lost"
        }
        assert found["r-0"] == found["r-1"] != found["r-2"]

    run_fleet(story)


def runs(fleet):
    return [arrival for arrival in fleet.arrivals if arrival.ran]
