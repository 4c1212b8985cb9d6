"""Runs one soak from its plan to its report."""

import asyncio
from collections import Counter
from pathlib import Path
from tempfile import mkdtemp

from acaciacove.daemon.background import background
from acaciacove.gateway.log_events import Event
from acaciacove.settings.soak_settings import SoakSettings
from acaciacove.soak.addresses import READINESS_PORT
from acaciacove.soak.check_answers import check_answers
from acaciacove.soak.check_crashes import check_crashes
from acaciacove.soak.check_limits import check_limits
from acaciacove.soak.check_operations import check_operations
from acaciacove.soak.fault_plan import plan_faults
from acaciacove.soak.planned_fault import PlannedFault
from acaciacove.soak.play_faults import play_faults
from acaciacove.soak.soak_caller import SoakCaller
from acaciacove.soak.soak_report import SoakReport
from acaciacove.soak.soak_trace import SoakTrace
from acaciacove.soak.soak_world import SoakWorld

# The balancer asks once a second, and two misses take a gateway out.
ASK_EVERY_S = 1.0
ASK_LIMIT_S = 0.9
START_LIMIT_S = 60.0
# After the last fault is undone the fleet has this long to serve again.
RECOVERY_S = 5.0
READINESS = b"GET /-/readiness HTTP/1.1\r\nHost: g\r\nConnection: close\r\n\r\n"


async def run_soak(settings: SoakSettings) -> SoakReport:
    """Play the plan of these settings and check what was seen."""
    plan = plan_faults(settings)
    folder = _folder(settings)
    world = SoakWorld(settings, folder)
    try:
        await world.open()
        await _wait_until_all_are_ready(world)
        settled_s = await _play(world, plan)
    finally:
        await world.close()
    return _judge(world, plan, settled_s)


def _folder(settings: SoakSettings) -> Path:
    folder = Path(settings.log_folder or mkdtemp(prefix="acaciacove-soak-"))
    folder.mkdir(parents=True, exist_ok=True)
    return folder


async def _wait_until_all_are_ready(world: SoakWorld) -> None:
    async with asyncio.timeout(START_LIMIT_S):
        while len(world.ready) < len(world.gateways):
            await asyncio.gather(
                *(_ask_readiness(world, n) for n in range(len(world.gateways)))
            )


async def _play(world: SoakWorld, plan: tuple[PlannedFault, ...]) -> float:
    """Let callers call under the plan; returns when the fleet had recovered."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + world.settings.seconds
    callers = [SoakCaller(n, world).run() for n in range(world.settings.callers)]
    async with background(
        world.beat(), world.watch_stalls(), _balance(world), *callers
    ):
        await play_faults(world, plan)
        settled_s = loop.time() + RECOVERY_S
        await asyncio.sleep(max(until_s - loop.time(), 2.0 * RECOVERY_S))
    return settled_s


async def _balance(world: SoakWorld) -> None:
    """Keep to the gateways that say they are ready, as the platform does."""
    while True:
        await asyncio.gather(
            *(_ask_readiness(world, n) for n in range(len(world.gateways))),
            asyncio.sleep(ASK_EVERY_S),
        )


async def _ask_readiness(world: SoakWorld, number: int) -> None:
    host = world.addresses.gateway(number)
    status = 0
    try:
        async with asyncio.timeout(ASK_LIMIT_S):
            reader, writer = await asyncio.open_connection(host, READINESS_PORT)
            try:
                writer.write(READINESS)
                status = _status(await reader.readline())
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError):
        # Not reached is not ready.
        status = 0
    if status == 200:
        world.ready.add(number)
    else:
        world.ready.discard(number)


def _status(line: bytes) -> int:
    """Read a status line; 0 where it is none."""
    parts = line.split()
    return int(parts[1]) if len(parts) > 1 and parts[1].isdigit() else 0


def _judge(
    world: SoakWorld, plan: tuple[PlannedFault, ...], settled_s: float
) -> SoakReport:
    trace = _trace(world, settled_s)
    late = trace.calls_after_recovery()
    served = sum(call.status == 200 and call.complete for call in late)
    return SoakReport(
        plan=plan,
        played=Counter(fault.kind for fault in world.faults),
        answers=Counter(str(call.status or "none") for call in trace.calls),
        arrivals=len(trace.arrivals),
        stalls=len(trace.stalls),
        served_after=(served, len(late)),
        violations=(
            *check_answers(trace),
            *check_operations(trace),
            *check_crashes(trace),
            *check_limits(trace),
        ),
        log_folder=str(world.folder),
    )


def _trace(world: SoakWorld, settled_s: float) -> SoakTrace:
    return SoakTrace(
        calls=world.calls,
        arrivals=world.fleet.arrivals,
        faults=world.faults,
        stalls=world.stalls,
        zone_of=world.zone_of,
        revoked_s=world.revoked_s,
        crashing=frozenset(world.crashing),
        settled_s=settled_s,
        exits=[
            f"{gateway.settings.name} ended by itself, {gateway.exits_of_its_own} times"
            for gateway in world.gateways
            if gateway.exits_of_its_own
        ],
        faulty_lines=_faulty_lines(world.folder),
    )


def _faulty_lines(folder: Path) -> list[str]:
    """Return log lines that tell of a fault, and tracebacks."""
    marks = (f'"event":"{Event.FAULT.value}"', "Traceback")
    return [
        f"{path.name}: {line[:300]}"
        for path in sorted(folder.glob("*.log"))
        for line in path.read_text("utf-8", "replace").splitlines()
        if any(mark in line for mark in marks)
    ]
