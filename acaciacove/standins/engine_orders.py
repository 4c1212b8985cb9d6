"""Orders and KV transfers of the engine stand-in."""

import asyncio
import base64
from typing import Any

import orjson
from starlette.requests import Request
from starlette.responses import Response

from acaciacove.standins.engine_state import EngineState
from acaciacove.standins.faults import Handler
from acaciacove.standins.json_response import json_response

LOAD = "load_version"
UNLOAD = "unload_version"
SET_ROLE = "set_role"
BLOCK_BYTES = 8


def orders_endpoint(state: EngineState) -> Handler:
    """Build the handler of ``POST /orders``."""

    async def orders(request: Request) -> Response:
        order = orjson.loads(await request.body())
        fence = int(order["fence"])
        if fence < state.fence and state.profile.refuses_old_fences:
            return json_response({"error": "stale fence", "fence": state.fence}, 409)
        state.fence = max(state.fence, fence)
        if not await _execute(state, order):
            return json_response({"error": "unknown action"}, 400)
        return json_response({"done": True, "fence": state.fence})

    return orders


async def _execute(state: EngineState, order: dict[str, Any]) -> bool:
    """Execute an order; return False if its action is unknown."""
    match order.get("action"):
        case "load_version":
            await asyncio.sleep(state.profile.load_version_s)
            state.versions.add(str(order["version"]))
            state.turn_cold(asyncio.get_running_loop().time())
        case "unload_version":
            state.versions.discard(str(order["version"]))
        case "set_role":
            state.role = str(order["role"])
        case _:
            return False
    return True


def export_endpoint(state: EngineState) -> Handler:
    """Build the handler of ``GET /kv``, which exports the cached prefix blocks."""

    async def export(_: Request) -> Response:
        blocks = b"".join(
            prefix.to_bytes(BLOCK_BYTES, "big", signed=True)
            for prefix in state.cache.blocks
        )
        return json_response({"blocks": base64.b64encode(blocks).decode()})

    return export


def import_endpoint(state: EngineState) -> Handler:
    """Build the handler of ``POST /kv``, which imports exported prefix blocks."""

    async def import_blocks(request: Request) -> Response:
        document = orjson.loads(await request.body())
        blocks = base64.b64decode(document["blocks"])
        for start in range(0, len(blocks), BLOCK_BYTES):
            block = blocks[start : start + BLOCK_BYTES]
            state.cache.insert(int.from_bytes(block, "big", signed=True))
        return json_response({"imported": len(blocks) // BLOCK_BYTES})

    return import_blocks
