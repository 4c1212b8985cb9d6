"""Kinds of back ends of an API."""

from enum import StrEnum


class ApiKind(StrEnum):
    """Whether model engines or a plain service answer an API."""

    MODEL = "model"
    SERVICE = "service"
