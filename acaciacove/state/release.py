"""The record by which an owner gives a claim up."""

from attrs import frozen


@frozen
class Release:
    """The claim was not run and never will be; the key is free again."""

    key: str
    claim_id: str
