"""JSON responses of the stand-ins."""

from typing import Any

import orjson
from starlette.responses import Response

JSON = "application/json"


def json_response(document: Any, status: int = 200, **headers: str) -> Response:
    """Return a JSON response; underscores in header names become hyphens."""
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return Response(orjson.dumps(document), status, named, media_type=JSON)
