"""``acaciacove standins``: runs stand-ins for platform and endpoints."""

import asyncio

from acaciacove.cli.note_file import read_note_file
from acaciacove.context import Environment
from acaciacove.exit_status import ExitStatus
from acaciacove.settings.standins_settings import StandinsSettings
from acaciacove.standins.fleet_file import FleetFile
from acaciacove.standins.read_fleet_file import MAX_FILE_BYTES, read_fleet_file


def run(settings: StandinsSettings, env: Environment) -> ExitStatus:
    """Serve the stand-ins of a fleet file until SIGTERM or SIGINT."""
    fleet = read_fleet_file(read_note_file(settings.file, MAX_FILE_BYTES, env))
    try:
        asyncio.run(_serve(fleet, settings.seed, env))
    except OSError as error:
        env.log_error(f"the stand-ins cannot listen: {error}")
        return ExitStatus.ERROR
    return ExitStatus.SUCCESS


async def _serve(fleet: FleetFile, seed: int, env: Environment) -> None:
    """Run the stand-ins and print their URLs once all of them listen."""
    from acaciacove.daemon.stop_signal import stop_on_signals
    from acaciacove.standins.run_standins import run_standins

    started = asyncio.Event()
    stop = stop_on_signals()
    serving = asyncio.create_task(run_standins(fleet, seed, started, stop))
    announcing = asyncio.create_task(_announce(fleet, started, env))
    try:
        await serving
    finally:
        announcing.cancel()


async def _announce(fleet: FleetFile, started: asyncio.Event, env: Environment) -> None:
    await started.wait()
    env.print(f"log: http://{fleet.host}:{fleet.log_port}")
    env.print(f"instance list: http://{fleet.host}:{fleet.instance_list_port}")
    for endpoint in fleet.endpoints:
        served = " ".join(str(version) for version in endpoint.versions)
        env.print(f"{endpoint.kind} {served}: http://{fleet.host}:{endpoint.port}")
    env.stdout.flush()
