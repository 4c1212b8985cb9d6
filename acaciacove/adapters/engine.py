"""Interface of a model engine."""

from collections.abc import AsyncGenerator
from typing import Protocol

from acaciacove.adapters.engine_call import EngineCall
from acaciacove.adapters.engine_event import EngineEvent
from acaciacove.adapters.engine_load import EngineLoad
from acaciacove.adapters.engine_order import EngineOrder
from acaciacove.refusal import Refusal


class Engine(Protocol):
    """Operations of a model engine that a sidecar uses."""

    def generate(self, call: EngineCall) -> AsyncGenerator[EngineEvent, None]:
        """Run a call; yields a head, chunks, and a finish or a refusal at the end.

        Closing the generator or cancelling its consumer cancels the call in the
        engine. A failure of the engine is yielded as a refusal and raises nothing.
        """
        ...

    async def order(self, order: EngineOrder) -> Refusal | None:
        """Send an order; None when done, STALE_FENCE when its fence is outdated.

        Raises PlatformUnavailableError when it is unknown whether it took effect.
        """
        ...

    async def load(self) -> EngineLoad:
        """Fetch the load report; raises PlatformUnavailableError."""
        ...
