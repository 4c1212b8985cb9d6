"""One rating of one answer."""

from attrs import frozen

from acaciacove.fleet.version_id import VersionId


@frozen
class Rating:
    """A rating of an answer; ``score`` is 0 (useless) to 1 (perfect)."""

    request_id: str
    version: VersionId
    request_class: str
    score: float
    sequence: int
