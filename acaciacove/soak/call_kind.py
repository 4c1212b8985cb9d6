"""Kinds of requests sent by the callers of a soak."""

from enum import StrEnum


class CallKind(StrEnum):
    """A route of the soak's catalogue, by its name."""

    BOOK = "book"
    LOOK = "look"
    DRAFT = "draft"


# Requests of these kinds may run at most once.
AT_MOST_ONCE_KINDS = frozenset({CallKind.BOOK})
