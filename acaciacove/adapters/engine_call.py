"""One request to a model engine."""

from attrs import frozen


@frozen
class EngineCall:
    """A chat completion for a version (``model@version``).

    ``body`` is the caller's JSON; the adapter sets model, stream, priority and
    resume point in it. A lower ``priority`` is served sooner. A positive
    ``resume_from_tokens`` continues an answer after that many tokens. The call
    times out after ``timeout_s``. An engine that sends nothing for ``stall_s``
    counts as failed.
    """

    request_id: str
    version: str
    body: bytes
    stream: bool = False
    priority: int = 0
    resume_from_tokens: int = 0
    timeout_s: float = 30.0
    stall_s: float = 10.0
