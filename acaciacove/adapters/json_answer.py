"""JSON answer of a platform service."""

from typing import Any

from attrs import frozen


@frozen
class JsonAnswer:
    """Status and document of an answer that is not a server error (5xx)."""

    status: int
    document: Any
