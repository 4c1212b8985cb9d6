"""One structured log line of a process."""

from datetime import datetime
from typing import Any

from attrs import frozen


@frozen
class LogLine:
    """Time, process and event of a log line; ``fields`` holds all other fields.

    ``at_s`` is the wall-clock time of the process in Unix seconds. Clocks of machines
    differ by seconds, so lines of two processes may be sorted in the wrong order.
    """

    at_s: float
    process: str
    event: str
    fields: dict[str, Any]

    @property
    def request_id(self) -> str:
        """The id of the request that the line is about, or an empty string."""
        return str(self.fields.get("request_id", ""))

    @property
    def clock(self) -> str:
        """The local time of day with milliseconds."""
        return datetime.fromtimestamp(self.at_s).strftime("%H:%M:%S.%f")[:-3]
