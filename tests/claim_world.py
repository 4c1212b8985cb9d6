"""Simulation of claim owners on one faulty log, with an endpoint that counts calls."""

import asyncio
from collections import Counter
from random import Random

from acaciacove.adapters.service_answer import ServiceAnswer
from acaciacove.bench.faulty_log import FaultyLog
from acaciacove.state.claim_owner import ClaimOwner
from acaciacove.state.claim_settings import ClaimSettings
from acaciacove.state.log_writer import LogWriter
from acaciacove.state.log_writer_settings import LogWriterSettings

START_UNIX_S = 1_800_000_000.0


class PausableLog:
    """Access of one process to the log; its calls block while the process is paused."""

    def __init__(self, log):
        self.log = log
        self.resumed = asyncio.Event()
        self.resumed.set()

    async def append(self, stream, payload):
        await self.resumed.wait()
        try:
            return await self.log.append(stream, payload)
        finally:
            await self.resumed.wait()

    async def read(self, stream, from_offset, limit, wait_s=0.0):
        await self.resumed.wait()
        try:
            return await self.log.read(stream, from_offset, limit, wait_s)
        finally:
            await self.resumed.wait()


class World:
    """Claim owners, their access to the log, and the calls of the endpoint."""

    def __init__(self, seed=1, settings=None, **log):
        self.random = Random(seed)
        self.log = FaultyLog(Random(seed), **log)
        self.settings = settings or ClaimSettings(partitions=2)
        self.owners, self.logs, self.tasks = {}, {}, {}
        self.incarnations = Counter()
        self.calls = Counter()
        self.attempts_run = []
        self.service_s = 0.02
        self.answer_body = b"seat 4"
        self.suspended_s = 0.0

    def start(self, name):
        """Start a new incarnation of a process, whose only state is the log."""
        self.incarnations[name] += 1
        incarnation = self.incarnations[name]
        rng = Random(f"{name}/{incarnation}")
        log = PausableLog(self.log)
        settings = LogWriterSettings(append_timeout_s=1.0)
        writer = LogWriter(log, name, incarnation, settings, rng)
        owner = ClaimOwner(
            name, incarnation, log, writer, self.settings, rng,
            self.wall_s, self.query_owner, self.is_gone,
        )  # fmt: skip
        self.owners[name], self.logs[name] = owner, log
        self.tasks[name] = [asyncio.create_task(writer.run())]
        return owner

    def kill(self, name):
        owner = self.owners.pop(name)
        for task in [*self.tasks.pop(name), *owner._tasks]:
            task.cancel()
        self.logs.pop(name).resumed.clear()

    def wall_s(self):
        return START_UNIX_S + self.suspended_s + asyncio.get_running_loop().time()

    async def query_owner(self, name, query):
        await asyncio.sleep(0.001)
        owner = self.owners.get(name)
        if owner is None or not self.logs[name].resumed.is_set():
            return None
        return owner.on_query(query)

    def is_gone(self, name, incarnation):
        return name not in self.owners or self.incarnations[name] > incarnation

    async def book(self, name, key, attempt="", timeout_s=5.0, body="a", issued_s=None):
        """Send the booking ``key`` to one process."""

        async def call():
            await asyncio.sleep(self.service_s / 2)
            self.calls[key] += 1
            self.attempts_run.append(attempt)
            number = self.calls.total()
            await asyncio.sleep(self.service_s / 2)
            return ServiceAnswer(201, (), self.answer_body + b"/%d" % number)

        deadline_s = asyncio.get_running_loop().time() + timeout_s
        return await self.owners[name].run_once(
            key, body, deadline_s, call, issued_s=issued_s
        )
