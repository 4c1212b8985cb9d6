"""Interface of a plain service."""

from typing import Protocol

from acaciacove.adapters.service_answer import ServiceAnswer
from acaciacove.adapters.service_call import ServiceCall
from acaciacove.refusal import Refusal


class PlainService(Protocol):
    """Operations of a plain service that a sidecar uses."""

    async def call(self, call: ServiceCall) -> ServiceAnswer | Refusal:
        """Make one call.

        A refusal with ``not_run`` means that no byte was sent; without it the
        outcome is unknown. After the first byte a call is sent again only if it
        may be repeated.
        """
        ...
