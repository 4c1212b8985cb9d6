"""The record that gives one process the right to make a call."""

from attrs import frozen


@frozen
class Claim:
    """The first claim for a key, in log order, may be run, by its owner alone.

    ``claim_id`` is unique. ``at_s`` is the owner's Unix time; it decides nothing
    between two claims, only when a key may be forgotten.
    """

    key: str
    claim_id: str
    owner: str
    incarnation: int
    fingerprint: str
    at_s: float
    organisation: str = ""
