"""A short soak of real gateway processes, and tests of the soak's components."""

import asyncio

import pytest

from acaciacove.bench.free_ports import free_ports
from acaciacove.errors import InvalidSettingsError
from acaciacove.platform.node_file import decode_node_file
from acaciacove.platform.node_file_writer import write_node_file
from acaciacove.settings.soak_settings import SoakSettings
from acaciacove.soak.fault_kind import FaultKind
from acaciacove.soak.fault_plan import plan_faults
from acaciacove.soak.proxy import Proxy
from acaciacove.soak.run_soak import run_soak
from acaciacove.soak.shorten_plan import shorten_plan
from acaciacove.standins.gateway_fleet import gateway_settings

# Seeds that once revealed a fault, each with its cause.
# 3: a plan in which the log refuses only one gateway, so that the time limits of
# departures are checked.
# 11: a plan in which an endpoint asks for rest.
# 402: a restarted peer counted as unreachable, on a connection that it had closed.
# 942: while all endpoints of a service were down, the part that all requests have was
# held back.
# 302: the repeatedly doubled pause of an endpoint overflowed.
SEEDS = (1, 3, 11, 302, 402, 942)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_short_soak_breaks_no_promise(tmp_path, seed):
    settings = SoakSettings(
        seed=seed, seconds=12.0, gateways=3, callers=6, log_folder=str(tmp_path)
    )
    report = asyncio.run(run_soak(settings))
    assert report.violations == (), report.text()
    assert report.injected


def test_a_plan_is_the_same_for_the_same_seed_and_can_be_shortened():
    settings = SoakSettings(seed=7, seconds=60.0)
    plan = plan_faults(settings)
    assert plan == plan_faults(SoakSettings(seed=7, seconds=60.0, gateways=9))
    assert plan != plan_faults(SoakSettings(seed=8, seconds=60.0))
    kept = plan_faults(SoakSettings(seed=7, seconds=60.0, only="2,5"))
    assert kept == (plan[1], plan[4])


def test_plans_hold_every_kind_of_fault():
    plans = [plan_faults(SoakSettings(seed=n, seconds=60.0)) for n in range(20)]
    assert {fault.kind for plan in plans for fault in plan} == set(FaultKind)


@pytest.mark.parametrize("needed", [{5}, {2, 9}, {1, 2, 3}, set(range(1, 11))])
def test_a_plan_is_shortened_to_the_necessary_faults(needed):
    async def is_broken(numbers):
        return needed <= set(numbers)

    kept = asyncio.run(shorten_plan(range(1, 11), is_broken))
    assert set(kept) == needed


def test_invalid_fault_numbers_are_rejected():
    with pytest.raises(InvalidSettingsError):
        SoakSettings(only="2,x")


def test_a_settings_file_is_read_as_it_was_written():
    settings = gateway_settings("gateway-0", "127.0.0.1", "a")
    assert decode_node_file(write_node_file(settings)) == settings


def test_a_proxy_discards_one_direction_and_resets():
    async def echo(reader, writer):
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    async def run():
        front, back = (("127.0.0.1", port) for port in free_ports(2))
        server = await asyncio.start_server(echo, *back)
        proxy = Proxy(front, back)
        await proxy.open()
        reader, writer = await asyncio.open_connection(*front)
        writer.write(b"one")
        assert await reader.readexactly(3) == b"one"
        proxy.state.down_silent = True
        writer.write(b"two")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                await reader.read(3)
        proxy.reset()
        with pytest.raises(ConnectionResetError):
            await reader.readexactly(1)
        proxy.close()
        server.close()

    asyncio.run(run())
