"""A streamed response that always closes its source generator."""

from contextlib import aclosing

from starlette.responses import StreamingResponse
from starlette.types import Send


class AnswerResponse(StreamingResponse):
    """Closes the answer's generator as soon as the caller disconnects.

    If a caller disconnected while a chunk was being written, the generator would
    otherwise stay open until garbage collection. Until then the engine would
    generate an answer that nobody receives.
    """

    async def stream_response(self, send: Send) -> None:
        """Send the chunks, then close their source."""
        async with aclosing(self.body_iterator):  # type: ignore[type-var]
            await super().stream_response(send)
