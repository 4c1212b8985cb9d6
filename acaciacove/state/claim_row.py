"""What is kept of a claim whose call has ended."""

from attrs import frozen


@frozen
class ClaimRow:
    """Numbers that a claim and its outcome can be built from again.

    ``number`` is the last part of the claim's id, ``owner`` an index of names,
    ``at_s`` whole seconds of Unix time, ``offset`` where the outcome is in the log.
    """

    fingerprint: bytes
    number: int
    at_s: int
    offset: int
    owner: int
    status: int
    flags: int
