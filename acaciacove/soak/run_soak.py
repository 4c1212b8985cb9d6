"""Runs one soak: draws the plan, injects the faults, checks and reports."""

import asyncio
from collections import Counter
from pathlib import Path
from tempfile import mkdtemp

from acaciacove.daemon.background import background
from acaciacove.gateway.log_events import Event
from acaciacove.settings.soak_settings import SoakSettings
from acaciacove.soak.addresses import READINESS_PORT
from acaciacove.soak.check_answers import check_answers
from acaciacove.soak.check_concentration import check_concentration
from acaciacove.soak.check_crashes import check_crashes
from acaciacove.soak.check_crashing_parts import check_crashing_parts
from acaciacove.soak.check_limits import check_limits
from acaciacove.soak.check_load import check_load, is_overload_refusal, is_read_on
from acaciacove.soak.check_notices import check_notices
from acaciacove.soak.check_operations import check_operations
from acaciacove.soak.fault_plan import plan_faults
from acaciacove.soak.inject_faults import inject_faults
from acaciacove.soak.planned_fault import PlannedFault
from acaciacove.soak.soak_caller import SoakCaller
from acaciacove.soak.soak_environment import SoakEnvironment
from acaciacove.soak.soak_report import SoakReport
from acaciacove.soak.soak_trace import SoakTrace

# The load balancer probes once a second, and removes a gateway after two failures.
PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.9
START_TIMEOUT_S = 60.0
# Time for the fleet to serve again after the last fault is undone.
RECOVERY_S = 5.0
READINESS = b"GET /-/readiness HTTP/1.1\r\nHost: g\r\nConnection: close\r\n\r\n"


async def run_soak(settings: SoakSettings) -> SoakReport:
    """Run the fault plan of these settings and check the recorded trace."""
    plan = plan_faults(settings)
    folder = _folder(settings)
    environment = SoakEnvironment(settings, folder)
    try:
        await environment.open()
        await _wait_until_all_are_ready(environment)
        recovered_s = await _run_callers(environment, plan)
    finally:
        await environment.close()
    return _report(environment, plan, recovered_s)


def _folder(settings: SoakSettings) -> Path:
    folder = Path(settings.log_folder or mkdtemp(prefix="acaciacove-soak-"))
    folder.mkdir(parents=True, exist_ok=True)
    return folder


async def _wait_until_all_are_ready(environment: SoakEnvironment) -> None:
    async with asyncio.timeout(START_TIMEOUT_S):
        while len(environment.ready) < len(environment.gateways):
            await asyncio.gather(
                *(
                    _probe_gateway(environment, n)
                    for n in range(len(environment.gateways))
                )
            )


async def _run_callers(
    environment: SoakEnvironment, plan: tuple[PlannedFault, ...]
) -> float:
    """Run callers and faults; return the time by which the fleet should serve again."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + environment.settings.seconds
    callers = [
        SoakCaller(n, environment).run() for n in range(environment.settings.callers)
    ]
    async with background(
        environment.send_heartbeats(),
        environment.copy_log(),
        environment.watch_stalls(),
        environment.change_paces(),
        _probe_readiness(environment),
        *callers,
    ):
        await inject_faults(environment, plan)
        recovered_s = loop.time() + RECOVERY_S
        await asyncio.sleep(max(until_s - loop.time(), 2.0 * RECOVERY_S))
    return recovered_s


async def _probe_readiness(environment: SoakEnvironment) -> None:
    """Track which gateways report readiness, as the platform does."""
    while True:
        await asyncio.gather(
            *(_probe_gateway(environment, n) for n in range(len(environment.gateways))),
            asyncio.sleep(PROBE_INTERVAL_S),
        )


async def _probe_gateway(environment: SoakEnvironment, number: int) -> None:
    host = environment.addresses.gateway(number)
    status = 0
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, READINESS_PORT)
            try:
                writer.write(READINESS)
                status = _status(await reader.readline())
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError):
        # A gateway that cannot be reached is not ready.
        status = 0
    if status == 200:
        environment.ready.add(number)
    else:
        environment.ready.discard(number)


def _status(line: bytes) -> int:
    """Return the status code of a status line, or 0 if the line is invalid."""
    parts = line.split()
    return int(parts[1]) if len(parts) > 1 and parts[1].isdigit() else 0


def _report(
    environment: SoakEnvironment, plan: tuple[PlannedFault, ...], recovered_s: float
) -> SoakReport:
    trace = _trace(environment, recovered_s)
    calls = trace.calls_after_recovery()
    served = sum(call.status == 200 and call.complete for call in calls)
    return SoakReport(
        plan=plan,
        injected=Counter(fault.kind for fault in environment.faults),
        answers=Counter(str(call.status or "none") for call in trace.calls),
        arrivals=len(trace.arrivals),
        overload_refusals=sum(is_overload_refusal(call) for call in trace.calls),
        slow_calls=Counter(
            "whole" if call.complete else "broken off" if call.closed else "none"
            for call in trace.calls
            if is_read_on(call)
        ),
        stalls=len(trace.stalls),
        served_after_recovery=(served, len(calls)),
        violations=(
            *check_answers(trace),
            *check_operations(trace),
            *check_crashes(trace),
            *check_crashing_parts(trace),
            *check_concentration(trace),
            *check_limits(trace),
            *check_notices(trace),
            *check_load(trace),
        ),
        log_folder=str(environment.folder),
    )


def _trace(environment: SoakEnvironment, recovered_s: float) -> SoakTrace:
    return SoakTrace(
        calls=environment.calls,
        arrivals=environment.fleet.arrivals,
        faults=environment.faults,
        stalls=environment.stalls,
        zone_of=environment.zone_of,
        revoked_s=environment.revoked_s,
        crashing=frozenset(environment.crashing),
        recovered_s=recovered_s,
        unexpected_exits=[
            f"{gateway.settings.name} ended by itself, {gateway.unexpected_exits} times"
            for gateway in environment.gateways
            if gateway.unexpected_exits
        ],
        fault_log_lines=_fault_log_lines(environment.folder),
    )


def _fault_log_lines(folder: Path) -> list[str]:
    """Return the log lines with a fault event or a traceback."""
    marks = (f'"event":"{Event.FAULT.value}"', "Traceback")
    return [
        f"{path.name}: {line[:300]}"
        for path in sorted(folder.glob("*.log"))
        for line in path.read_text("utf-8", "replace").splitlines()
        if any(mark in line for mark in marks)
    ]
