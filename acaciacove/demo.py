"""Runs both example deployments in one process and sends sample requests."""

from contextlib import AsyncExitStack
from io import StringIO
from typing import Any

import orjson
from attrs import frozen

from acaciacove.adapters.http_client import open_client
from acaciacove.context import Environment
from acaciacove.daemon.decision_log import start_log
from acaciacove.daemon.stop_signal import stop_on_signals
from acaciacove.exit_status import ExitStatus
from acaciacove.fleet.api import Api
from acaciacove.fleet.api_kind import ApiKind
from acaciacove.standins.deployment import Deployment
from acaciacove.standins.local_fleet import LocalFleet, running_fleet
from acaciacove.standins.platform_fleet import running_platform
from acaciacove.standins.serve import LOOPBACK
from acaciacove.standins.souk import SOUK
from acaciacove.standins.swimhole import SWIMHOLE
from acaciacove.state.zone_decision import ZoneDecision

CHAT_PATH = "/v1/chat/completions"
BODY_CHARS = 72
DEPLOYMENTS = (SWIMHOLE, SOUK)


@frozen
class Sample:
    """A sample request with a title for people to read."""

    title: str
    path: str
    document: dict[str, Any]
    headers: dict[str, str] = {}


async def run_demo(env: Environment) -> ExitStatus:
    """Run both deployments, send sample requests and print where they were routed.

    If stdout is a terminal, they continue to serve, so that users can try curl.
    """
    lines = StringIO()
    start_log(lines)
    async with AsyncExitStack() as stack:
        fleets = [await _start_fleet(deployment, stack) for deployment in DEPLOYMENTS]
        failed = 0
        for fleet in fleets:
            failed += await _run_samples(fleet, lines, env)
        if failed:
            env.log_error(f"{failed} sample request(s) were not answered")
            return ExitStatus.ERROR
        if env.stdout_isatty:
            env.print("\nServing until Ctrl-C.")
            await stop_on_signals().wait()
    return ExitStatus.SUCCESS


async def _start_fleet(deployment: Deployment, stack: AsyncExitStack) -> LocalFleet:
    """Start a deployment, which runs until ``stack`` is closed."""
    platform = await stack.enter_async_context(running_platform(deployment))
    return await stack.enter_async_context(running_fleet(platform))


async def _run_samples(fleet: LocalFleet, lines: StringIO, env: Environment) -> int:
    """Send the samples, and one more with a zone out; return the failures."""
    deployment = fleet.platform.deployment
    env.print(f"\n{deployment.title}")
    env.print(
        f"  {len(deployment.availability_zones)} availability zones, "
        f"{len(deployment.endpoints)} endpoints, {len(fleet.entries)} entries, "
        f"{len(deployment.tokens)} organisations"
    )
    failed = 0
    samples = _samples(deployment)
    for number, sample in enumerate(samples):
        failed += await _send(sample, fleet, number, lines, env)
    zone = deployment.availability_zones[0]
    offset = fleet.publish(ZoneDecision("demo-out", zone, True, "demo"))
    await fleet.wait_until_applied(offset)
    env.print(f"\n  availability zone {zone} is taken out")
    failed += await _send(samples[0], fleet, 0, lines, env)
    await fleet.wait_until_applied(
        fleet.publish(ZoneDecision("demo-in", zone, False, "demo"))
    )
    env.print("\n  Try it yourself:\n" + _curl(fleet))
    return failed


def _samples(deployment: Deployment) -> list[Sample]:
    """Return sample requests: a chat, a streamed chat and a service call."""
    model = _first_api(deployment, ApiKind.MODEL)
    service = _first_api(deployment, ApiKind.SERVICE)
    question = {"role": "user", "content": deployment.prompts[0]}
    chat = {"model": model.name, "messages": [question], "max_tokens": 24}
    rule = service.non_idempotent[0]
    path = f"/services/{service.name}{rule.path_prefix}"
    call = Sample(
        f"{rule.method} {rule.path_prefix}, which may run at most once",
        path,
        {"reference": "demo-1"},
        {"Idempotency-Key": "demo-key-1"},
    )
    return [
        Sample("a chat", CHAT_PATH, chat),
        Sample("a chat, streamed", CHAT_PATH, {**chat, "stream": True}),
        call,
    ]


def _first_api(deployment: Deployment, kind: ApiKind) -> Api:
    return next(api for api in deployment.note.apis if api.kind is kind)


async def _send(
    sample: Sample,
    fleet: LocalFleet,
    number: int,
    lines: StringIO,
    env: Environment,
) -> int:
    """Send a sample and print the decision; return 1 if it was not answered."""
    lines.seek(0)
    lines.truncate()
    organisation, token = list(fleet.platform.deployment.tokens.items())[number]
    entry = fleet.entries[number % len(fleet.entries)]
    url = f"http://{LOOPBACK}:{entry.http_port}{sample.path}"
    headers = {"Authorization": f"Bearer {token}", **sample.headers}
    async with open_client() as client:
        response = await client.post(
            url, headers=headers, data=orjson.dumps(sample.document)
        )
        body = (await response.content()).decode()
    env.print(f"\n  {sample.title}, for {organisation}")
    for line in lines.getvalue().splitlines():
        _print_decision(orjson.loads(line), env)
    env.print(f"    status {response.status_code}: {_shortened(body)}")
    return 0 if response.status_code < 300 else 1


def _print_decision(event: dict[str, Any], env: Environment) -> None:
    """Print the choices with their reasons, or the refusal."""
    match event["event"]:
        case "route":
            for kind in ("version", "endpoint"):
                _print_choice(event, kind, env)
        case "refuse":
            env.print(f"    refused: {event['reason']} ({event['detail']})")


def _print_choice(event: dict[str, Any], kind: str, env: Environment) -> None:
    env.print(f"    {kind:<9}{event[kind]} ({event[f'{kind}_why']})")
    lost = event[f"{kind}s_lost"]
    if lost:
        reasons = ", ".join(f"{name} {why}" for name, why in lost.items())
        env.print(f"    {'':<9}not chosen: {reasons}")


def _shortened(body: str) -> str:
    line = " ".join(body.split())
    return line if len(line) <= BODY_CHARS else line[:BODY_CHARS] + " ..."


def _curl(fleet: LocalFleet) -> str:
    """Return a command line that sends a chat request."""
    deployment = fleet.platform.deployment
    token = next(iter(deployment.tokens.values()))
    model = _first_api(deployment, ApiKind.MODEL).name
    document = {
        "model": model,
        "stream": True,
        "messages": [{"role": "user", "content": deployment.prompts[0]}],
    }
    return (
        f"  curl -N http://{LOOPBACK}:{fleet.entries[0].http_port}{CHAT_PATH} "
        f"-H 'Authorization: Bearer {token}' "
        f"-d '{orjson.dumps(document).decode()}'"
    )
