"""The last event of a whole answer."""

from attrs import frozen

from acaciacove.fleet.version_id import VersionId


@frozen
class AnswerEnd:
    """The answer is whole; what it took.

    ``cost`` covers every finished attempt, ``confidence`` is the engine's own.
    """

    version: VersionId
    endpoint: str
    prompt_tokens: int
    completion_tokens: int
    cost: float
    finish_reason: str = ""
    service_s: float = 0.0
