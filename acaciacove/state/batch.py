"""One payload of the log that contains several items."""

from typing import Any

from attrs import frozen


@frozen
class Batch:
    """Items of one group commit, as parsed JSON objects.

    ``writer``, ``incarnation`` and ``sequence`` make the payload unique. The
    writer can therefore find it in the log when the reply to its append was lost.
    """

    writer: str
    incarnation: int
    sequence: int
    items: tuple[dict[str, Any], ...]
