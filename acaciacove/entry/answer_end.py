"""The last event of a complete answer."""

from attrs import frozen

from acaciacove.fleet.version_id import VersionId


@frozen
class AnswerEnd:
    """Totals of a complete answer.

    ``cost`` covers every finished attempt.
    """

    version: VersionId
    endpoint: str
    prompt_tokens: int
    completion_tokens: int
    cost: float
    finish_reason: str = ""
    service_s: float = 0.0
