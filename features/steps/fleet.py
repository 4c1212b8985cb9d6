"""A running fleet, its callers and its operator."""

import asyncio
from contextlib import AsyncExitStack
from io import StringIO

import orjson
from attrs import define, field

from acaciacove.context import Environment, open_http_client
from acaciacove.core import main
from acaciacove.standins.example_organisations import example_token
from acaciacove.standins.local_fleet import running_fleet
from acaciacove.standins.platform_fleet import running_platform
from acaciacove.standins.swimhole import SWIMHOLE
from acaciacove.state.record import RELEASE_STREAM

QUESTION = [{"role": "user", "content": "Is Blue Spring open?"}]


@define
class Answer:
    """What a caller got."""

    status: int
    headers: dict
    body: bytes

    @property
    def document(self):
        return orjson.loads(self.body)


@define(eq=False)
class RunningFleet:
    """Keeps a fleet up in a task of its own, from the first step to the last."""

    started: asyncio.Event = field(factory=asyncio.Event)
    ended: asyncio.Event = field(factory=asyncio.Event)
    task: object = None
    local: object = None
    client: object = None

    async def start(self):
        self.task = asyncio.create_task(self._keep())
        started = asyncio.create_task(self.started.wait())
        await asyncio.wait({self.task, started}, return_when="FIRST_COMPLETED")
        if self.task.done():
            started.cancel()
            self.task.result()

    async def stop(self):
        self.ended.set()
        await self.task

    async def _keep(self):
        async with AsyncExitStack() as stack:
            platform = await stack.enter_async_context(running_platform(SWIMHOLE))
            self.local = await stack.enter_async_context(running_fleet(platform))
            self.client = await stack.enter_async_context(open_http_client())
            self.started.set()
            await self.ended.wait()

    async def operate(self, args, stdin=""):
        """Run an operator's command and wait until what it wrote is in force."""
        platform = self.local.platform
        env = {
            "ACACIACOVE_LOG_URL": platform.log_url,
            "ACACIACOVE_INSTANCE_LIST_URL": platform.instance_list_url,
        }
        out = StringIO()
        environment = Environment(StringIO(stdin), out, out, env)
        status = await asyncio.to_thread(main, args, environment)
        await self.local.wait_until_applied(
            platform.log.stream(RELEASE_STREAM).next_offset - 1
        )
        return status, out.getvalue()

    async def ask(self, organisation, model, stream=False, entry=0):
        body = {
            "model": model,
            "messages": QUESTION,
            "max_tokens": 4,
            "stream": stream,
        }
        path = "/v1/chat/completions"
        return await self._post(organisation, path, body, {}, entry)

    async def book(self, organisation, reference, key="", entry=0):
        headers = {"Idempotency-Key": key} if key else {}
        path = "/services/bookings/shuttles"
        body = {"reference": reference}
        return await self._post(organisation, path, body, headers, entry)

    async def _post(self, organisation, path, body, headers, entry=0):
        url = f"http://127.0.0.1:{self.local.entries[entry].http_port}{path}"
        if organisation:
            token = example_token(organisation)
            headers = {**headers, "Authorization": f"Bearer {token}"}
        response = await self.client.request(
            url, "POST", headers=headers, data=orjson.dumps(body)
        )
        content = await response.content()
        received = {name.lower(): value for name, value in response.headers.items()}
        return Answer(response.status_code, received, content)

    def effects(self, reference):
        services = self.local.platform.services.values()
        return sum(service.effects_by_reference[reference] for service in services)

    def zone_of(self, endpoint):
        zones = {e.name: e.availability_zone for e in SWIMHOLE.endpoints}
        return zones[endpoint]
