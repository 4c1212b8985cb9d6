"""The platform's rating service over HTTP."""

from typing import Any

import orjson
from attrs import frozen

from acaciacove.adapters.http_json import call_json
from acaciacove.adapters.rating import Rating
from acaciacove.errors import PlatformUnavailableError
from acaciacove.fleet.version_id import parse_version_id


@frozen
class HttpRatingService:
    """A RatingService at ``url``; ``client`` comes from ``open_client``."""

    url: str
    client: Any

    async def submit(
        self, request_id: str, version: str, request_class: str, answer: str
    ) -> None:
        """Submit an answer that may be rated."""
        document = {
            "request_id": request_id,
            "version": version,
            "request_class": request_class,
            "answer": answer,
        }
        body = orjson.dumps(document)
        await call_json(self.client, "POST", f"{self.url}/answers", body)

    async def fetch(self, after_sequence: int, limit: int) -> list[Rating]:
        """Return ratings with a sequence number above ``after_sequence``."""
        params = {"after": after_sequence, "limit": limit}
        answer = await call_json(
            self.client, "GET", f"{self.url}/ratings", params=params
        )
        try:
            return [_parse_rating(document) for document in answer.document["ratings"]]
        except (KeyError, TypeError, ValueError) as error:
            raise PlatformUnavailableError(
                f"{self.url}: malformed ratings: {error!r}"
            ) from error


def _parse_rating(document: dict[str, Any]) -> Rating:
    version = parse_version_id(document["version"])
    if version is None:
        raise ValueError(f"expected model@version, got {document['version']!r}")
    return Rating(
        request_id=document["request_id"],
        version=version,
        request_class=document["request_class"],
        score=float(document["score"]),
        sequence=int(document["sequence"]),
    )
