"""Query to the owner of a claim."""

from attrs import frozen


@frozen
class ClaimQuery:
    """Requests the state of a claim, and the answer if the owner retains it."""

    query_id: str
    key: str
