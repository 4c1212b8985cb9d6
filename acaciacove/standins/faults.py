"""Fault injection of stand-ins, set by tests or over HTTP."""

from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import orjson
from starlette.requests import Request
from starlette.responses import Response

from acaciacove.standins.json_response import json_response

ALWAYS = -1

Handler = Callable[[Request], Awaitable[Response]]


def consume_fault(faults: Any, name: str) -> bool:
    """Use up one occurrence of a fault and return whether it occurs.

    A count of ``ALWAYS`` never runs out.
    """
    remaining: int = getattr(faults, name)
    if remaining > 0:
        setattr(faults, name, remaining - 1)
    return remaining != 0


def faults_endpoint(faults: Any) -> Handler:
    """Build the handler of ``POST /faults``, which sets fields by name."""
    names = {field.name for field in attrs.fields(type(faults))}

    async def set_faults(request: Request) -> Response:
        document = orjson.loads(await request.body())
        unknown = sorted(set(document) - names)
        if unknown:
            return json_response({"error": "unknown faults", "names": unknown}, 400)
        for name, value in document.items():
            setattr(faults, name, value)
        return json_response(attrs.asdict(faults))

    return set_faults
