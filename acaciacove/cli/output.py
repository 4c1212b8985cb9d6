"""Prints results as JSON for scripts."""

from typing import Any

import orjson

from acaciacove.context import Environment


def print_json(document: dict[str, Any], env: Environment) -> None:
    """Print one JSON object on one line."""
    env.print(orjson.dumps(document, option=orjson.OPT_NON_STR_KEYS).decode())
