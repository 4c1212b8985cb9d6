"""Bytes of state per item, and what a process weighs without any."""

import subprocess
import sys
import tracemalloc
from collections.abc import Callable
from random import Random

from attrs import frozen

from acaciacove.bench.bench_error import BenchError
from acaciacove.bench.capacity_fleet import (
    made_endpoint,
    made_organisation,
    made_version,
)
from acaciacove.decisions.endpoint_view import MAX_PREFIXES, EndpointView

ITEMS = 400
PREFIX_BITS = 32
LIBRARIES = (
    "aioprometheus",
    "aiosonic",
    "attrs",
    "capnp",
    "cattrs",
    "ddsketch",
    "loguru",
    "orjson",
    "starlette.applications",
    "transitions",
    "uvicorn",
)
RESIDENT_CODE = """
import os, sys
for name in sys.argv[1:]:
    __import__(name)
pages = int(open("/proc/self/statm").read().split()[1])
print(pages * os.sysconf("SC_PAGE_SIZE"))
"""


@frozen
class MemorySlopes:
    """Bytes an item takes, by the classes that hold it.

    ``endpoint_view_full`` is a view with all prompt prefixes it can remember.
    """

    instance: float
    endpoint_view: float
    endpoint_view_full: float
    organisation: float
    version: float


@frozen
class ResidentSizes:
    """Resident bytes of a process after each step, without any traffic."""

    interpreter: int
    with_libraries: int
    entry_code: int
    sidecar_code: int


def measure_memory(versions: int) -> MemorySlopes:
    """Measure the classes that hold state."""
    return MemorySlopes(
        instance=bytes_per_item(lambda n: made_endpoint(n, versions)),
        endpoint_view=bytes_per_item(_view),
        endpoint_view_full=bytes_per_item(_full_view),
        organisation=bytes_per_item(lambda n: made_organisation(n, versions)),
        version=bytes_per_item(made_version),
    )


def measure_resident() -> ResidentSizes:
    """Start fresh interpreters and see what they weigh."""
    return ResidentSizes(
        interpreter=_resident_bytes(),
        with_libraries=_resident_bytes(*LIBRARIES),
        entry_code=_resident_bytes("acaciacove.entry.daemon"),
        sidecar_code=_resident_bytes("acaciacove.sidecar.daemon"),
    )


def bytes_per_item(make: Callable[[int], object], items: int = ITEMS) -> float:
    """Build many items in a dictionary and return the bytes that each takes."""
    make(0)
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        kept = {f"item-{number}": make(number) for number in range(items)}
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return round((after - before) / len(kept), 1)


def _view(number: int) -> EndpointView:
    return EndpointView(_ENDPOINT)


def _full_view(number: int) -> EndpointView:
    view = EndpointView(_ENDPOINT)
    random = Random(number)
    for _ in range(MAX_PREFIXES):
        view.sent(0.0, f"{random.getrandbits(PREFIX_BITS):08x}")
    return view


def _resident_bytes(*modules: str) -> int:
    """Import modules in a fresh interpreter and return its resident bytes."""
    command = [sys.executable, "-c", RESIDENT_CODE, *modules]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    if done.returncode != 0:
        raise BenchError(f"cannot import {modules}: {done.stderr.strip()}")
    return int(done.stdout)


_ENDPOINT = made_endpoint(0, 1)
