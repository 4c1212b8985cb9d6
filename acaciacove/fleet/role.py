"""Roles of instances."""

from enum import StrEnum


class Role(StrEnum):
    """The role of an instance."""

    ENTRY = "entry"
    ENDPOINT = "endpoint"
