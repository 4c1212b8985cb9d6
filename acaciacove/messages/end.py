"""Message that ends a complete answer."""

from attrs import frozen

from acaciacove.messages.load import Load


@frozen
class End:
    """The answer was sent completely, in ``chunks`` chunks."""

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
