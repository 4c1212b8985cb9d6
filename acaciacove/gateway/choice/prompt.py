"""The size and shared parts of a prompt."""

from attrs import frozen


@frozen
class Prompt:
    """A prompt's parts in order, as (id, tokens), and its token counts.

    The last part belongs to the request or its session; those before it are shared with
    other requests.
    """

    parts: tuple[tuple[str, int], ...]
    input_tokens: int
    max_output_tokens: int

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """The ids of the parts that other requests may have as well."""
        return tuple(part for part, _ in self.parts[:-1])

    @property
    def shared_key(self) -> str | None:
        """The id of the last part that is shared with other requests, if any."""
        if len(self.parts) >= 2:
            return self.parts[-2][0]
        return self.parts[0][0] if self.parts else None
