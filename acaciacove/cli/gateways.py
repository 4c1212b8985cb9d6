"""``acaciacove gateways``: shows what gateways know of demand and capacity."""

import asyncio
from collections import Counter

from attrs import asdict

from acaciacove.cli.gateway_answer import GatewayAnswer
from acaciacove.cli.gateway_tables import endpoint_table, service_table
from acaciacove.cli.output import print_json
from acaciacove.cli.query_gateway import query_gateway
from acaciacove.cli.tables import open_console
from acaciacove.context import COMMAND_CONNECTIONS, Environment, open_http_client
from acaciacove.exit_status import ExitStatus
from acaciacove.settings.gateways_settings import GatewaysSettings, split_addresses


def run(settings: GatewaysSettings, env: Environment) -> ExitStatus:
    """Print the status of each gateway; one that does not answer is no failure."""
    answers = asyncio.run(_query_all(settings))
    read_at = env.now().isoformat(timespec="seconds")
    if settings.json:
        document = {"read_at": read_at, "gateways": [asdict(a) for a in answers]}
        print_json(document, env)
    else:
        _print(read_at, answers, env)
    return ExitStatus.SUCCESS


async def _query_all(settings: GatewaysSettings) -> list[GatewayAnswer]:
    """Query all gateways at the same time, as far as connections allow."""
    slots = asyncio.Semaphore(COMMAND_CONNECTIONS)
    async with open_http_client() as client:

        async def query(address: str) -> GatewayAnswer:
            async with slots:
                return await query_gateway(client, address, settings.timeout_s)

        return await asyncio.gather(*map(query, split_addresses(settings.addresses)))


def _print(read_at: str, answers: list[GatewayAnswer], env: Environment) -> None:
    console = open_console(env)
    answered = [answer for answer in answers if answer.status is not None]
    console.print(f"{len(answered)} of {len(answers)} gateways, read at {read_at}")
    console.print(service_table(answers))
    if answered:
        console.print(endpoint_table(answered))
    refusals: Counter[str] = Counter()
    for answer in answered:
        refusals.update(answer.status.overload_refusals if answer.status else {})
    if refusals:
        counts = ", ".join(f"{name} {count}" for name, count in refusals.most_common())
        console.print(f"refused for overload: {counts}")
