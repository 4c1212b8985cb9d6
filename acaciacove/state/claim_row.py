"""Compact form of a claim whose call has ended."""

from attrs import frozen


@frozen
class ClaimRow:
    """Values from which a claim and its outcome can be restored.

    ``number`` is the last part of the claim's id, ``owner`` an index into the list of
    owners, ``at_s`` Unix time in whole seconds, ``offset`` the offset of the outcome in
    the log.
    """

    fingerprint: bytes
    number: int
    at_s: int
    offset: int
    owner: int
    status: int
    flags: int
