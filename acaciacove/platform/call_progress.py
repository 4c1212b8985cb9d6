"""What has arrived of the response to one call to the log."""

from attrs import define, field


@define
class CallProgress:
    """The chunks of a response's body, and whether its head has arrived."""

    has_answer: bool = False
    chunks: list[bytes] = field(factory=list)
    size_bytes: int = 0

    def append(self, chunk: bytes) -> None:
        """Add the next chunk."""
        self.chunks.append(chunk)
        self.size_bytes += len(chunk)
