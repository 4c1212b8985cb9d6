"""Runs the commands in README in one process and on free ports."""

import asyncio
import re
import shlex
from contextlib import AsyncExitStack, asynccontextmanager
from io import StringIO
from pathlib import Path

from attrs import define, evolve, field

from acaciacove.cli.definition import COMMANDS
from acaciacove.cli.find_command import find_command
from acaciacove.cli.read_settings import read_settings
from acaciacove.context import Environment, open_http_client
from acaciacove.core import main
from acaciacove.entry.running_entry import running_entry
from acaciacove.settings.entry_settings import EntrySettings
from acaciacove.settings.sidecar_settings import SidecarSettings
from acaciacove.sidecar.running_sidecar import running_sidecar
from acaciacove.standins.read_fleet_file import read_fleet_file
from acaciacove.standins.run_standins import standin_applications
from acaciacove.standins.serve import serve
from tests.embedded import until

PORT = re.compile(r"127\.0\.0\.1:(\d+)")
ENV = {
    "ACACIACOVE_HOST": "127.0.0.1",
    "ACACIACOVE_REGION": "south",
    "ACACIACOVE_LOG_URL": "http://127.0.0.1:7000",
    "ACACIACOVE_INSTANCE_LIST_URL": "http://127.0.0.1:7001",
}


@define(eq=False)
class ReadmeSession:
    """Runs commands of a page and keeps the daemons that they start.

    ``ports`` maps a port on the page to the free port that replaces it.
    """

    stack: AsyncExitStack
    ports: dict[int, int] = field(factory=dict)
    instances: dict[str, object] = field(factory=dict)
    instance_list: object = None

    def with_free_ports(self, text):
        """Replace the ports on the page by the free ports."""

        def port(match):
            on_page = int(match.group(1))
            return f"127.0.0.1:{self.ports.get(on_page, on_page)}"

        return PORT.sub(port, text)

    async def run(self, command):
        """Run one command line of the page and return its output."""
        program, *args = shlex.split(command)
        if program == "curl":
            return await self._run_curl(args)
        assert program == "acaciacove"
        if args[0] == "standins":
            return await self._start_standins(Path(args[1]))
        if args[0] in ("entry", "sidecar"):
            return await self._start_daemon(args)
        out = StringIO()
        env = {name: self.with_free_ports(value) for name, value in ENV.items()}
        await asyncio.to_thread(main, args, Environment(StringIO(), out, out, env))
        return out.getvalue()

    async def _start_standins(self, file):
        fleet = read_fleet_file(file.read_bytes())
        self.instances = {instance.name: instance for instance in fleet.instances}
        applications, self.instance_list = standin_applications(fleet, seed=1)
        for port, app in applications:
            self.ports[port] = await self.stack.enter_async_context(serve(app))
        return ""

    async def _start_daemon(self, args):
        command, rest = find_command(COMMANDS, args)
        on_page = read_settings(command, rest, ENV)
        settings = evolve(
            on_page,
            http_port=0,
            peer_port=0,
            log_url=self.with_free_ports(on_page.log_url),
            instance_list_url=self.with_free_ports(on_page.instance_list_url),
            drain_notice_s=0.0,
            seed=1,
        )
        if isinstance(settings, SidecarSettings):
            url = self.with_free_ports(settings.endpoint_url)
            running = running_sidecar(evolve(settings, endpoint_url=url))
        else:
            assert isinstance(settings, EntrySettings)
            running = running_entry(settings)
        daemon = await self.stack.enter_async_context(running)
        self.ports[on_page.http_port] = daemon.http_port
        self._publish_ports(on_page, daemon)
        await until(lambda: daemon.state.lifecycle.accepts_callers)
        return ""

    def _publish_ports(self, on_page, daemon):
        """Publish the actual ports of a daemon in the instance list."""
        listed = self.instances[on_page.name]
        assert (listed.port, listed.http_port) == (on_page.peer_port, on_page.http_port)
        port = getattr(daemon, "peer_port", listed.port)
        relisted = evolve(listed, port=port, http_port=daemon.http_port)
        self.instances[on_page.name] = relisted
        now_s = asyncio.get_running_loop().time()
        self.instance_list.publish(now_s, tuple(self.instances.values()))

    async def _run_curl(self, args):
        """Send the request of a curl command with the options -H, -d, -i and -N."""
        headers, body, url, show_headers = {}, None, "", False
        words = iter(args)
        for word in words:
            match word:
                case "-H":
                    name, _, value = next(words).partition(": ")
                    headers[name] = value
                case "-d":
                    body = next(words).encode()
                case "-i":
                    show_headers = True
                case "-N":
                    continue
                case _:
                    url = self.with_free_ports(word)
        async with open_http_client() as client:
            method = "GET" if body is None else "POST"
            answer = await client.request(url, method, headers=headers, data=body)
            text = (await answer.content()).decode()
            if show_headers:
                lines = [f"{n.lower()}: {v}" for n, v in answer.raw_headers]
                text = "\n".join([f"{answer.status_code}", *sorted(lines), "", text])
            return text + "\n"


@asynccontextmanager
async def readme_session():
    """Open a session for commands; what they start ends with the block."""
    async with AsyncExitStack() as stack:
        yield ReadmeSession(stack)
