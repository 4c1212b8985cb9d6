"""Tests with real processes that are killed or paused while bookings run."""

import asyncio
import os
import subprocess
import sys

import orjson
import pytest

from acaciacove.adapters.log_entry import LogEntry
from acaciacove.exit_status import ExitStatus
from acaciacove.state.billing_ledger import BillingLedger
from acaciacove.state.billing_record import BILLING_STREAM
from tests.embedded import run
from tests.processes import running_processes

BOOKINGS = 40


def read_ledger(fleet):
    stream = fleet.log.stream(BILLING_STREAM)
    billing_ledger = BillingLedger()
    billing_ledger.offer(
        [LogEntry(o, p) for o, p in stream.read(stream.first_offset, 10_000)]
    )
    return billing_ledger


def check_outcomes(fleet, answers):
    """Compare the responses to callers with the effects of their bookings."""
    effects = fleet.effects
    assert all(count <= 1 for count in effects.values()), effects
    for key, responses in answers.items():
        for status, body in filter(None, responses):
            if status == 200:
                assert effects.get(key) == 1, key
            elif orjson.loads(body)["not_run"] and (len(responses) == 1):
                assert effects.get(key, 0) == 0, key


async def book_all(fleet, inject_fault):
    """Send bookings through both entries and retry each failed one."""
    answers = {}

    async def book_with_retry(number):
        key = f"key-{number}"
        answers[key] = [await fleet.book(f"entry-{number % 2}", key)]
        if answers[key][0] is None or answers[key][0][0] != 200:
            answers[key].append(await fleet.book(f"entry-{(number + 1) % 2}", key))

    async def start_tasks():
        for number in range(BOOKINGS):
            if number == BOOKINGS // 3:
                await inject_fault()
            yield asyncio.create_task(book_with_retry(number))
            await asyncio.sleep(0.02)

    tasks = [task async for task in start_tasks()]
    await asyncio.gather(*tasks)
    return answers


def test_bookings_run_at_most_once_when_a_sidecar_is_killed():
    # A sidecar is killed while bookings run. The outcome of some bookings is then
    # unknown. None runs twice, none that ran is reported as not run, and the others
    # succeed.
    async def test():
        async with running_processes() as fleet:
            for service in fleet.services.values():
                service.faults.delay_s = 0.05

            async def inject_fault():
                fleet.kill("bookings-0")

            answers = await book_all(fleet, inject_fault)
            check_outcomes(fleet, answers)
            booked = [
                k
                for k, responses in answers.items()
                if responses[-1] and responses[-1][0] == 200
            ]
            assert len(booked) >= BOOKINGS // 2

    run(test)


def test_bookings_are_billed_once_when_an_entry_is_killed():
    # An entry is killed, and its callers retry through another one with the same
    # keys. Sidecars hold copies of its billing records, so every booking is billed
    # exactly once.
    async def test():
        async with running_processes() as fleet:
            for service in fleet.services.values():
                service.faults.delay_s = 0.05

            async def inject_fault():
                fleet.kill("entry-0")

            answers = await book_all(fleet, inject_fault)
            check_outcomes(fleet, answers)
            effects = sum(fleet.effects.values())
            async with asyncio.timeout(60):
                while read_ledger(fleet).requests["ozark-guides"] < effects:
                    await asyncio.sleep(0.1)
            assert read_ledger(fleet).requests["ozark-guides"] == effects

    run(test)


@pytest.mark.parametrize("frozen", ["bookings-0", "entry-0"])
def test_bookings_run_at_most_once_when_a_process_is_paused(frozen):
    # A process is paused for seconds, as on a suspended machine, and then continues
    # with its old state. Nothing that it still does may run a booking a second time.
    async def test():
        async with running_processes() as fleet:
            for service in fleet.services.values():
                service.faults.delay_s = 0.05

            async def inject_fault():
                fleet.pause(frozen)
                asyncio.get_running_loop().call_later(5, fleet.resume, frozen)

            answers = await book_all(fleet, inject_fault)
            await asyncio.sleep(2)
            check_outcomes(fleet, answers)

    run(test)


def test_a_signal_to_reload_does_not_end_a_process_that_starts():
    """Guards against a gateway that SIGHUP ends before it has installed its handler."""
    program = (
        "import os, signal, sys\n"
        "import acaciacove.platform.__main__ as program\n"
        "program.open_front_socket = lambda: os.kill(os.getpid(), signal.SIGHUP)\n"
        "sys.exit(program.main())\n"
    )
    missing = {"ACACIACOVE_NODE_FILE": "/nonexistent/boot.conf"}
    ended = subprocess.run(
        [sys.executable, "-c", program],
        env=os.environ | missing,
        capture_output=True,
        check=False,
    )
    assert ended.returncode == ExitStatus.USAGE
