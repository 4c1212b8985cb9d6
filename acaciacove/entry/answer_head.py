"""The first event of an answer."""

from attrs import frozen

from acaciacove.fleet.version_id import VersionId
from acaciacove.messages.header import Header


@frozen
class AnswerHead:
    """Status and headers for the caller, and the version and endpoint that answer."""

    status: int
    headers: tuple[Header, ...]
    version: VersionId
    endpoint: str
