"""The platform's instance list over HTTP."""

from typing import Any

from attrs import frozen

from acaciacove.adapters.http_json import call_json
from acaciacove.adapters.instance_codec import instance_from_document
from acaciacove.errors import MalformedMessageError, PlatformUnavailableError
from acaciacove.fleet.instance import Instance


@frozen
class HttpInstanceList:
    """An InstanceList at ``url``; ``client`` comes from ``open_client``."""

    url: str
    client: Any

    async def fetch(self) -> list[Instance]:
        """Return the current list; raises PlatformUnavailableError."""
        answer = await call_json(self.client, "GET", f"{self.url}/instances")
        try:
            return [instance_from_document(d) for d in answer.document["instances"]]
        except (KeyError, TypeError, MalformedMessageError) as error:
            raise PlatformUnavailableError(
                f"{self.url}: malformed instance list: {error!r}"
            ) from error
