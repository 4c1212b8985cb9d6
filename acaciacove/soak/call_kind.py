"""Kinds of requests that a soak's callers send."""

from enum import StrEnum


class CallKind(StrEnum):
    """A route of the soak's catalogue, by its name."""

    BOOK = "book"
    LOOK = "look"
    DRAFT = "draft"


# What may run at most once for each request.
AT_MOST_ONCE_KINDS = frozenset({CallKind.BOOK})
