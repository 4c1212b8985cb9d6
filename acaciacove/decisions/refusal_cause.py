"""Why overload control refuses a request."""

from enum import StrEnum


class RefusalCause(StrEnum):
    """Stable names, used in log lines and as the label of a metric."""

    LEVEL = "level"
    DEADLINE = "deadline"
