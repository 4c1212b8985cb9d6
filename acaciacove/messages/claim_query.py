"""Asks the owner of a claim for the answer it keeps."""

from attrs import frozen


@frozen
class ClaimQuery:
    """Asks the owner of a claim for the answer it keeps."""

    query_id: str
    key: str
