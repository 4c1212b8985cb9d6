"""What stands behind an API."""

from enum import StrEnum


class ApiKind(StrEnum):
    """Whether an API is answered by model engines or by a plain service."""

    MODEL = "model"
    SERVICE = "service"
