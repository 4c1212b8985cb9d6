"""The platform's weight store over HTTP."""

from typing import Any

import orjson
from attrs import frozen

from acaciacove.adapters.http_json import call_json, expect_document


@frozen
class HttpWeightStore:
    """A WeightStore at ``url``; ``client`` comes from ``open_client``."""

    url: str
    client: Any

    async def acquire(self, weights: str) -> float:
        """Request a load permit; returns the seconds to wait, 0 when granted."""
        body = orjson.dumps({"weights": weights})
        url = f"{self.url}/loads"
        answer = await call_json(self.client, "POST", url, body)
        with expect_document(url):
            return float(answer.document["wait_s"])
