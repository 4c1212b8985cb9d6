"""The record by which an owner releases a claim."""

from attrs import frozen


@frozen
class Release:
    """The claim was not executed and never will be; its key can be claimed again."""

    key: str
    claim_id: str
