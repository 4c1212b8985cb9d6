"""A streamed response that closes its source whatever ends it."""

from contextlib import aclosing

from starlette.responses import StreamingResponse
from starlette.types import Send


class AnswerResponse(StreamingResponse):
    """Closes the answer's generator at once when the caller leaves.

    A caller that leaves while a piece is being written would otherwise leave the
    generator to the garbage collector, and its engine generating for nobody.
    """

    async def stream_response(self, send: Send) -> None:
        """Send the pieces, then close where they come from."""
        async with aclosing(self.body_iterator):  # type: ignore[type-var]
            await super().stream_response(send)
