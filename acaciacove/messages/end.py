"""The whole answer was sent: ``chunks`` pieces of it."""

from attrs import frozen

from acaciacove.messages.load import Load


@frozen
class End:
    """The whole answer was sent: ``chunks`` pieces of it."""

    request_id: str
    attempt: int
    chunks: int
    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0
    service_s: float = 0.0
    finish_reason: str = ""
    revision: int = -1
    load: Load = Load()
