"""Tests of the example deployments: their sizes and consistent names."""

import asyncio

import pytest

from acaciacove.adapters.http_client import open_client
from acaciacove.adapters.http_log import HttpLog
from acaciacove.fleet.fleet_state import FleetState
from acaciacove.standins.platform_fleet import running_platform
from acaciacove.standins.souk import SOUK
from acaciacove.standins.swimhole import SWIMHOLE
from acaciacove.state.record_codec import decode_record, encode_record
from acaciacove.state.reducer import fold
from acaciacove.state.verdict import Verdict


@pytest.mark.parametrize(
    "deployment, zones, replicas",
    [
        (SWIMHOLE, 4, {"guide": 5, "bookings": 4}),
        (SOUK, 3, {"darija": 9, "payments": 3}),
    ],
)
def test_deployment_has_the_expected_size(deployment, zones, replicas):
    counts = {api: sum(e.api == api for e in deployment.endpoints) for api in replicas}
    assert counts == replicas
    assert len(deployment.availability_zones) == zones
    assert len(deployment.tokens) == 10
    assert {e.availability_zone for e in deployment.endpoints} == set(
        deployment.availability_zones
    )


@pytest.mark.parametrize("deployment", [SWIMHOLE, SOUK])
def test_first_release_note_declares_every_served_version(deployment):
    folded = fold(FleetState(), 0, decode_record(encode_record(deployment.note)))
    assert folded.verdict is Verdict.ACCEPTED
    for endpoint in deployment.endpoints:
        for version in endpoint.versions:
            assert folded.state.versions[version].api == endpoint.api


def test_a_deployment_runs_with_all_its_stand_ins():
    async def run():
        client = open_client()
        async with running_platform(SWIMHOLE) as platform:
            offset = await HttpLog(platform.log_url, client).append("release", b"x")
            await client.aclose()
            return offset, set(platform.endpoint_urls)

    offset, names = asyncio.run(run())
    assert offset == 0
    assert names == {endpoint.name for endpoint in SWIMHOLE.endpoints}
